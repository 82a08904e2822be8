from tests.fleet.builders import make_target
from vanillabeam.forwarding.health import MOST_REST_S, REST_S, Health

TARGET = make_target("t", data_centre="a")


def test_a_target_rests_longer_with_each_failure():
    health = Health()
    health.failed(TARGET, 1.0)
    assert not health.is_rested(TARGET, 1.0 + REST_S - 0.01)
    assert health.is_rested(TARGET, 1.0 + REST_S)
    health.failed(TARGET, 2.0)
    assert not health.is_rested(TARGET, 2.0 + 2 * REST_S - 0.01)
    for _ in range(20):
        health.failed(TARGET, 3.0)
    assert health.is_rested(TARGET, 3.0 + MOST_REST_S)


def test_an_answer_ends_the_rest():
    health = Health()
    for _ in range(4):
        health.failed(TARGET, 1.0)
    health.answered(TARGET)
    assert health.is_rested(TARGET, 1.0)
    health.failed(TARGET, 2.0)
    assert health.is_rested(TARGET, 2.0 + REST_S)


def test_another_life_of_the_target_owes_nothing():
    health = Health()
    health.failed(TARGET, 1.0)
    assert health.is_rested(make_target("t", born_ms=2_000), 1.0)


def test_two_targets_speak_for_their_data_centre():
    health = Health()
    health.failed(TARGET, 1.0)
    assert not health.is_cut_off(TARGET, 1.0)
    health.failed(make_target("u", data_centre="a"), 1.0)
    assert health.is_cut_off(make_target("v", data_centre="a"), 1.0)
    assert not health.is_cut_off(make_target("w", data_centre="b"), 1.0)
