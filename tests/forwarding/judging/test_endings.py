"""Which broken answers are evidence of a target's end."""

from tests.fleet.builders import make_target
from vanillabeam.fleet import Directory
from vanillabeam.forwarding.judging.endings import (
    MAX_ANSWERED,
    MAX_BROKEN,
    PENDING_S,
    REPORT_S,
    BrokenAnswer,
    TargetEnds,
)

TARGET = make_target("t-1")


def break_answer(ends, request_id="r-1", target=TARGET, broken_s=1.2):
    answer = BrokenAnswer(request_id, target, ("p-1", "p-2"), 1.0, broken_s)
    return ends.record_broken(answer)


def test_a_broken_answer_alone_is_no_evidence():
    ends = TargetEnds()
    assert break_answer(ends) == []
    assert ends.broken(1.3) == []


def test_requests_that_broke_with_their_target_are_reported_with_their_ages():
    ends = TargetEnds()
    break_answer(ends, "r-1")
    break_answer(ends, "r-2")
    lines = ends.record_end(TARGET.incarnation, "refused", 1.3)
    assert [type(line).__name__ for line in lines] == [
        "TargetEnded",
        "RequestAccused",
        "RequestAccused",
    ]
    assert lines[0].requests == 2
    first, second = ends.broken(1.5)
    assert first == ("r-1", "t-1", 1_000, ("p-1", "p-2"), 0.5, 0.3)
    assert second.request_id == "r-2"


def test_an_answer_that_breaks_after_the_end_is_known_is_reported_too():
    ends = TargetEnds()
    break_answer(ends, "r-1")
    ends.record_end(TARGET.incarnation, "refused", 1.3)
    (line,) = break_answer(ends, "r-2", broken_s=1.4)
    assert (line.request_id, line.parts) == ("r-2", ["p-1", "p-2"])
    assert len(ends.broken(1.5)) == 2


# Guards against blame for parts when answers are lost, garbled or cut.
def test_answers_of_a_target_that_goes_on_are_no_evidence():
    ends = TargetEnds()
    break_answer(ends)
    ends.record_alive(TARGET.incarnation)
    assert ends.record_end(TARGET.incarnation, "refused", 1.3) == []
    assert ends.broken(1.5) == []


def test_a_later_start_of_the_target_or_at_its_address_tells_of_its_end():
    for later in (
        TARGET._replace(born_ms=2_000),
        make_target("t-9", address=TARGET.address, born_ms=2_000),
    ):
        ends, directory = TargetEnds(), Directory()
        directory.update(TARGET, 1.0)
        break_answer(ends)
        assert ends.settle(directory) == []
        directory.update(later, 1.5)
        assert ends.settle(directory) == [TARGET.incarnation]


def test_a_target_that_announces_itself_after_the_break_has_not_ended():
    ends, directory = TargetEnds(), Directory()
    directory.update(TARGET, 1.1)
    break_answer(ends)
    directory.update(TARGET._replace(sequence=2), 2.0)
    assert ends.settle(directory) == []
    assert ends.record_end(TARGET.incarnation, "refused", 2.1) == []


def test_a_broken_answer_is_no_evidence_after_some_time():
    ends = TargetEnds()
    break_answer(ends)
    ends.expire(1.3 + PENDING_S)
    assert ends.record_end(TARGET.incarnation, "restarted", 20.0) == []


def test_reports_end_after_some_time_and_are_bounded():
    ends = TargetEnds()
    break_answer(ends)
    ends.record_end(TARGET.incarnation, "refused", 1.3)
    for number in range(MAX_BROKEN + 5):
        break_answer(ends, f"r-{number}")
    assert len(ends.broken(2.0)) == MAX_BROKEN
    ends.expire(1.3 + REPORT_S)
    assert ends.broken(1.4) == []
    assert not ends.has_ended(TARGET.incarnation)


def test_the_last_whole_answers_are_known_and_bounded():
    ends = TargetEnds()
    ends.record_answer(("p-1",), 1.0)
    assert ends.answered(["p-1", "p-2"], 1.5) == {"p-1": 0.5, "p-2": None}
    ends.record_answer(tuple(f"q-{n}" for n in range(MAX_ANSWERED)), 2.0)
    assert ends.answered(["p-1"], 2.0) == {"p-1": None}
