import pytest

from tests.claims.builders import (
    LEASE_MS,
    RETENTION_S,
    START_MS,
    Driver,
    make_machine,
    make_outcome,
    make_uuid7,
)
from vanillabeam.exceptions import InvariantBroken

DAY_MS = int(RETENTION_S * 1000)


def test_outcome_is_replayed_to_every_repeat():
    log = Driver()
    assert log.claim() == "granted"
    assert log.claim(token="t2") == "in-progress"
    log.finish()
    assert [log.claim(token=t) for t in ("t3", "t4")] == ["done", "done"]


def test_repeated_command_of_one_grant_is_one_claim():
    log = Driver()
    assert [log.claim(), log.claim()] == ["granted", "granted"]
    assert log.claim(token="t2") == "in-progress"


def test_other_body_under_the_same_key_is_refused():
    log = Driver()
    log.claim()
    assert log.claim(token="t2", digest="other") == "other-body"


def test_same_key_in_another_workspace_is_another_key():
    log = Driver()
    log.claim()
    log.command_fields = lambda key, token, entry="e1": {
        "workspace": "w2",
        "key": key,
        "token": token,
        "entry": entry,
        "now_ms": log.now_ms,
    }
    assert log.claim(token="t2") == "granted"


def test_outcome_stays_unknown_after_the_lease_ends():
    log = Driver()
    log.claim()
    log.now_ms += LEASE_MS
    assert log.claim(token="t2") == "unknown"
    assert log.claim(token="t1") == "granted", "its own repeat; send_by bounds it"
    log.finish()
    assert log.claim(token="t3") == "done", "a late outcome is still recorded"


def test_abandoned_claim_is_unknown_at_once():
    log = Driver()
    log.claim()
    log.abandon()
    assert log.claim(token="t2") == "unknown"
    assert log.claim(token="t1") == "unknown"


def test_service_that_recognises_keys_is_granted_a_key_again():
    log = Driver()
    log.claim(by_key=True)
    log.abandon()
    assert log.claim(token="t2", by_key=True) == "granted"


def test_withdrawn_second_grant_does_not_free_the_key():
    log = Driver()
    log.claim(by_key=True)
    log.abandon()
    log.claim(token="t2", by_key=True)
    log.withdraw(token="t2")
    assert log.claim(token="t3") == "unknown"


def test_withdrawn_first_grant_frees_the_key():
    log = Driver()
    log.claim()
    assert log.withdraw(token="t9") == "ignored"
    log.withdraw()
    assert log.claim(token="t2") == "granted"


def test_settlement_frees_an_unknown_key_once():
    log = Driver()
    log.claim()
    log.abandon()
    assert log.claim(token="t2", settled=False) == "granted"
    log.abandon(token="t2")
    assert log.claim(token="t3", settled=False) == "unknown"
    assert log.claim(token="t4", settled=True) == "done"


def test_settlement_older_than_the_call_is_ignored():
    log = Driver()
    log.claim(settled=False)
    log.abandon()
    assert log.claim(token="t2", settled=False) == "unknown"


def test_key_older_than_the_retention_is_refused_even_when_clocks_go_back():
    log = Driver()
    key = make_uuid7(START_MS)
    log.claim(key)
    log.finish(key)
    log.now_ms += 2 * DAY_MS
    assert log.claim(key, token="t2") == "too-old"
    assert not log.machine.records
    log.now_ms = START_MS
    assert log.claim(key, token="t3") == "too-old"


def test_key_from_the_future_is_refused():
    log = Driver()
    assert log.claim(make_uuid7(START_MS + DAY_MS)) == "from-future"


def test_one_wrong_clock_does_not_expire_records():
    log = Driver()
    log.claim("k1", entry="e1")
    log.claim("k2", entry="e2", token="t2")
    log.now_ms += 100 * DAY_MS
    log.claim("k3", entry="e3", token="t3")
    assert len(log.machine.records) == 3


def test_full_shard_refuses_new_keys_and_serves_old_ones():
    log = Driver(make_machine(max_records=1))
    log.claim()
    assert log.claim("k2") == "full"
    assert log.claim() == "granted"


def test_outcomes_beyond_the_bound_are_kept_without_body():
    log = Driver(make_machine(max_outcome_bytes=100))
    log.claim()
    log.finish(outcome=make_outcome(body="x" * 200))
    assert b'"body":null' in next(iter(log.machine.records.values())).outcome


def test_snapshot_restores_the_complete_state():
    log = Driver()
    log.claim("k1")
    log.claim("k2")
    log.finish("k2")
    other = make_machine()
    other.restore(log.machine.snapshot())
    assert other.snapshot() == log.machine.snapshot()
    assert [claim.key for claim in other.open_claims()] == ["k1"]


def test_index_is_applied_once():
    log = Driver()
    log.claim()
    with pytest.raises(InvariantBroken):
        log.machine.apply(1, "{}")


def test_command_of_another_release_is_ignored():
    assert make_machine().apply(1, '{"op":"new"}') == '{"status":"ignored"}'
