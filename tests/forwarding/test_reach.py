"""A data centre is cut off: it is not learned from each target anew."""

from tests.fleet.builders import make_target
from vanillabeam.forwarding.reach import DOUBT_S, FAILED_TARGETS, Reach

CUT = [make_target(f"t-{number}", data_centre="cut") for number in range(5)]


def make_reach(failures):
    reach = Reach()
    for target in CUT[:failures]:
        reach.failed(target, 1.0)
    return reach


def test_one_target_says_nothing_of_its_data_centre():
    reach = make_reach(FAILED_TARGETS - 1)
    for _ in range(5):
        reach.failed(CUT[0], 1.1)
    assert not reach.is_doubtful("cut", 1.2)


def test_several_targets_speak_for_all_of_them():
    reach = make_reach(FAILED_TARGETS)
    assert reach.is_doubtful("cut", 1.2)
    assert not reach.is_doubtful("other", 1.2)


def test_it_is_tried_again_after_a_while():
    reach = make_reach(FAILED_TARGETS)
    assert not reach.is_doubtful("cut", 1.0 + DOUBT_S)
    reach.failed(CUT[3], 1.0 + DOUBT_S)
    assert not reach.is_doubtful("cut", 1.1 + DOUBT_S)
    reach.failed(CUT[4], 1.1 + DOUBT_S)
    assert reach.is_doubtful("cut", 1.2 + DOUBT_S)


def test_one_answer_clears_it():
    reach = make_reach(len(CUT))
    reach.answered(CUT[4])
    assert not reach.is_doubtful("cut", 1.0)
