from returns.result import Failure

from vanillabeam.answers.events import MAX_EVENT_BYTES, EventReader


def event(size):
    """Return an event of a run with that many bytes of text."""
    return b'id: 1\ndata: {"choices":[{"text":"%b"}]}\n\n' % (b"x" * size)


def test_an_event_within_the_limit_is_read():
    batch = EventReader().feed(event(MAX_EVENT_BYTES - 100)).unwrap()
    assert len(batch.pieces) == 1


# Guards against an event over the limit that arrives complete in one read.
def test_an_event_over_the_limit_is_refused_however_it_arrives():
    assert isinstance(EventReader().feed(event(MAX_EVENT_BYTES)), Failure)
    reader, data = EventReader(), event(MAX_EVENT_BYTES)
    results = [reader.feed(data[n : n + 65_536]) for n in range(0, len(data), 65_536)]
    assert any(isinstance(result, Failure) for result in results)
