import pytest
from hypothesis import given, settings, strategies as st

from vanillabeam.forwarding.sending.events import EventCutter

STREAM = b"".join(b"id: %d\ndata: piece\n\n" % number for number in range(1, 6))


@settings(derandomize=True, max_examples=100)
@given(st.lists(st.integers(0, len(STREAM)), max_size=8))
def test_however_the_bytes_come_the_events_are_the_same(cuts):
    cutter = EventCutter()
    ends = [*sorted(cuts), len(STREAM)]
    passed, start = b"", 0
    for end in ends:
        passed += cutter.feed(STREAM[start:end])
        assert passed == STREAM[: len(passed)]
        assert passed == b"" or passed.endswith(b"\n\n")
        start = end
    assert passed + cutter.finish() == STREAM
    assert cutter.last_id == "5"


def test_an_incomplete_event_is_dropped_and_its_id_ignored():
    cutter = EventCutter()
    cutter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    cutter.drop_partial()
    assert cutter.last_id == "1"
    assert cutter.feed(b"id: 2\ndata: b\n\n") == b"id: 2\ndata: b\n\n"


LINE_ENDS = [b"\n", b"\r\n", b"\r"]


@settings(derandomize=True, max_examples=200)
@given(
    st.lists(st.sampled_from(LINE_ENDS), min_size=9, max_size=9),
    st.lists(st.integers(0, 60), max_size=8),
)
def test_an_event_ends_with_an_empty_line_however_lines_end(ends, cuts):
    """Events may mix line ends, and any of them may arrive in two parts."""
    events = [
        b"id: %d" % (n + 1)
        + ends[3 * n]
        + b"data: x"
        + ends[3 * n + 1]
        + ends[3 * n + 2]
        for n in range(3)
    ]
    # A lone CR before a lone LF reads as one line end.
    is_ambiguous = any(
        ends[3 * n + 1] == b"\r" and ends[3 * n + 2] == b"\n" for n in range(3)
    )
    stream = b"".join(events)
    cutter, start = EventCutter(), 0
    for end in [*sorted(cuts), len(stream)]:
        cutter.feed(stream[start:end])
        start = max(start, end)
    if not is_ambiguous:
        assert (cutter.last_id, cutter.is_inside_event) == ("3", False)
    assert cutter.feed(b"id: 4") == b""
    assert cutter.is_inside_event


@pytest.mark.parametrize(
    ("data", "is_inside"),
    [
        (b"", False),
        (b"data: a\n\n", False),
        (b"data: a\n", True),
        (b"data: a\r\n", True),
        (b"data: a\n\nid", True),
        (b"data: a\n\nid: 2\n", True),
        (b"data: a\n\n\n", False),
        (b"data: a\n\n: alive\n", False),
        (b"data: a\n\n: ali", True),
        (b"data: a\n\n: alive\nid: 2\n", True),
    ],
)
def test_a_stream_that_ends_inside_an_event_is_told_from_a_whole_one(data, is_inside):
    for size in (1, 2, 3, len(data) or 1):
        cutter = EventCutter()
        for start in range(0, len(data), size):
            cutter.feed(data[start : start + size])
        assert cutter.is_inside_event is is_inside


def make_events(first, last, step=1):
    return b"".join(
        b"id: %d\ndata: piece\n\n" % number for number in range(first, last + 1, step)
    )


# Guards against a stream with pieces that are missing or come twice after a break.
@settings(derandomize=True, max_examples=300)
@given(st.integers(1, 5), st.integers(1, 8), st.lists(st.integers(0, 99), max_size=4))
def test_only_events_that_follow_go_on_with_a_stream(last, first, cuts):
    cutter = EventCutter()
    passed = cutter.feed(make_events(1, last) + b"id: %d\nda" % (last + 1))
    cutter.drop_partial()
    cutter.resume()
    rest, start = make_events(first, 9), 0
    for end in [*sorted(cuts), len(rest)]:
        if not cutter.is_misplaced:
            passed += cutter.feed(rest[start:end])
        start = end
    assert cutter.is_misplaced == (first != last + 1)
    assert passed == make_events(1, last if cutter.is_misplaced else 9)
    assert cutter.last_id == (str(last) if cutter.is_misplaced else "9")


def test_after_a_false_rest_a_third_answer_may_go_on():
    cutter = EventCutter("4")
    cutter.feed(make_events(5, 6))
    cutter.resume()
    assert cutter.feed(make_events(8, 9)) == b""
    cutter.resume()
    assert cutter.lacks_events
    assert cutter.feed(make_events(7, 9)) == make_events(7, 9)
    assert not (cutter.is_misplaced or cutter.lacks_events)


@pytest.mark.parametrize(
    ("before", "after", "follows"),
    [
        (make_events(8, 24, 8), b"id: 40\n\n", True),
        (make_events(8, 24, 8), b"id: 24\n\n", False),
        (b"id: a\n\n", b"id: b\n\n", True),
        (b"id: a\n\n", b"id: a\n\n", False),
        (b"id: 1\n\n", b"id: " + b"9" * 5_000 + b"\n\n", False),
        (b": ping\n\n", b"data: one\n\n", True),
        (b": ping\n\n", b"id: 1\n\n", True),
    ],
)
def test_ids_follow_as_those_before_did(before, after, follows):
    cutter = EventCutter()
    cutter.feed(before)
    cutter.resume()
    cutter.feed(after)
    assert cutter.is_misplaced is not follows
