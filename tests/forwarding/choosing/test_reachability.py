"""Detection of unreachable data centres.

Without it, the failure of a link would be detected by a timeout at each target.
"""

from tests.fleet.builders import make_target
from vanillabeam.forwarding.choosing.reachability import (
    FAILURE_TTL_S,
    MIN_FAILED_TARGETS,
    Reachability,
)

CUT = [make_target(f"t-{number}", data_centre="cut") for number in range(5)]


def make_reach(failures):
    reach = Reachability()
    for target in CUT[:failures]:
        reach.record_failure(target, 1.0)
    return reach


def test_one_failed_target_does_not_make_its_data_centre_suspect():
    reach = make_reach(MIN_FAILED_TARGETS - 1)
    for _ in range(5):
        reach.record_failure(CUT[0], 1.1)
    assert not reach.is_suspect("cut", 1.2)


def test_several_failed_targets_make_their_data_centre_suspect():
    reach = make_reach(MIN_FAILED_TARGETS)
    assert reach.is_suspect("cut", 1.2)
    assert not reach.is_suspect("other", 1.2)


def test_a_suspect_data_centre_is_tried_again_after_a_while():
    reach = make_reach(MIN_FAILED_TARGETS)
    assert not reach.is_suspect("cut", 1.0 + FAILURE_TTL_S)
    reach.record_failure(CUT[3], 1.0 + FAILURE_TTL_S)
    assert not reach.is_suspect("cut", 1.1 + FAILURE_TTL_S)
    reach.record_failure(CUT[4], 1.1 + FAILURE_TTL_S)
    assert reach.is_suspect("cut", 1.2 + FAILURE_TTL_S)


def test_one_answer_clears_the_suspicion():
    reach = make_reach(len(CUT))
    reach.record_success(CUT[4])
    assert not reach.is_suspect("cut", 1.0)
