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
