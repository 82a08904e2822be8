from vanillabeam.forwarding.sending.sentparts import (
    CACHE_TTL_S,
    MAX_PARTS_PER_TARGET,
    SentParts,
)

INCARNATION, OTHER = ("t-1", 1_000), ("t-1", 2_000)


def test_a_part_counts_as_cached_for_a_while_after_it_was_sent():
    sent_parts = SentParts()
    sent_parts.record(INCARNATION, "s", ["sys"], 1.0)
    assert sent_parts.is_cached(INCARNATION, "s", "sys", 1.0 + CACHE_TTL_S / 2)
    assert not sent_parts.is_cached(INCARNATION, "s", "sys", 1.0 + CACHE_TTL_S)
    assert not sent_parts.is_cached(INCARNATION, "other", "sys", 1.0)


def test_a_restarted_target_has_no_cached_parts():
    sent_parts = SentParts()
    sent_parts.record(INCARNATION, "s", ["sys"], 1.0)
    assert not sent_parts.is_cached(OTHER, "s", "sys", 1.0)


def test_all_targets_that_were_sent_a_part_hold_it():
    sent_parts = SentParts()
    sent_parts.record(INCARNATION, "s", ["sys"], 1.0)
    sent_parts.record(OTHER, "s", ["sys"], 2.0)
    assert sent_parts.holders("s", "sys", 2.0) == {INCARNATION, OTHER}
    assert sent_parts.holders("s", "sys", 1.0 + CACHE_TTL_S) == {OTHER}
    assert sent_parts.holders("s", "session", 2.0) == frozenset()


def test_the_most_recent_parts_are_remembered():
    sent_parts = SentParts()
    sent_parts.record(INCARNATION, "s", ["hot"], 1.0)
    for number in range(MAX_PARTS_PER_TARGET - 1):
        sent_parts.record(INCARNATION, "s", ["hot", f"p{number}"], 1.0)
    sent_parts.record(INCARNATION, "s", ["last"], 1.0)
    assert sent_parts.is_cached(INCARNATION, "s", "hot", 1.0)
    assert not sent_parts.is_cached(INCARNATION, "s", "p0", 1.0)


def test_other_incarnations_are_forgotten():
    sent_parts = SentParts()
    sent_parts.record(INCARNATION, "s", ["sys"], 1.0)
    sent_parts.keep_only({OTHER})
    assert not sent_parts.is_cached(INCARNATION, "s", "sys", 1.0)
