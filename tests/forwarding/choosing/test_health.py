from tests.fleet.builders import make_target
from vanillabeam.forwarding.choosing.health import BACKOFF_S, MAX_BACKOFF_S, Health

TARGET = make_target("t", data_centre="a")


def test_the_backoff_doubles_with_each_failure():
    health = Health()
    health.record_failure(TARGET, 1.0)
    assert not health.is_available(TARGET, 1.0 + BACKOFF_S - 0.01)
    assert health.is_available(TARGET, 1.0 + BACKOFF_S)
    health.record_failure(TARGET, 2.0)
    assert not health.is_available(TARGET, 2.0 + 2 * BACKOFF_S - 0.01)
    for _ in range(20):
        health.record_failure(TARGET, 3.0)
    assert health.is_available(TARGET, 3.0 + MAX_BACKOFF_S)


def test_an_answer_ends_the_backoff():
    health = Health()
    for _ in range(4):
        health.record_failure(TARGET, 1.0)
    health.record_success(TARGET)
    assert health.is_available(TARGET, 1.0)
    health.record_failure(TARGET, 2.0)
    assert health.is_available(TARGET, 2.0 + BACKOFF_S)


def test_a_new_incarnation_of_a_target_has_no_backoff():
    health = Health()
    health.record_failure(TARGET, 1.0)
    assert health.is_available(make_target("t", born_ms=2_000), 1.0)


def test_backoffs_of_targets_that_have_left_are_forgotten():
    health, left = Health(), make_target("left")
    health.record_failure(TARGET, 1.0)
    health.record_failure(left, 1.0)
    health.keep_only({TARGET.incarnation})
    assert not health.is_available(TARGET, 1.0)
    assert health.is_available(left, 1.0)
    assert len(health._backoffs) == 1


def test_two_failed_targets_make_their_data_centre_unreachable():
    health = Health()
    health.record_failure(TARGET, 1.0)
    assert not health.is_unreachable(TARGET, 1.0)
    health.record_failure(make_target("u", data_centre="a"), 1.0)
    assert health.is_unreachable(make_target("v", data_centre="a"), 1.0)
    assert not health.is_unreachable(make_target("w", data_centre="b"), 1.0)


# Guards against a data centre that is left alone because some of its targets ended.
def test_targets_that_refuse_connections_say_nothing_of_their_data_centre():
    health = Health()
    for name in ("t", "u", "v"):
        health.record_failure(make_target(name, data_centre="a"), 1.0, is_refused=True)
    assert not health.is_unreachable(TARGET, 1.0)
    assert not health.is_available(TARGET, 1.0)


def test_targets_that_have_ended_say_nothing_of_their_data_centre():
    health = Health()
    for name in ("t", "u"):
        health.record_failure(make_target(name, data_centre="a"), 1.0)
    assert health.is_unreachable(TARGET, 1.0)
    health.record_end(TARGET.incarnation)
    assert not health.is_unreachable(TARGET, 1.0)
