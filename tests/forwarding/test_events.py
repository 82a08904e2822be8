from hypothesis import given, settings, strategies as st

from vanillabeam.forwarding.events import EventCutter

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
