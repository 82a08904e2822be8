from vanillabeam.forwarding.sentparts import CACHED_S, MOST_PARTS, SentParts

LIFE, OTHER = ("t-1", 1_000), ("t-1", 2_000)


def test_a_part_counts_as_cached_for_a_while_after_it_was_sent():
    sent = SentParts()
    sent.sent(LIFE, "s", ["sys"], 1.0)
    assert sent.is_cached(LIFE, "s", "sys", 1.0 + CACHED_S / 2)
    assert not sent.is_cached(LIFE, "s", "sys", 1.0 + CACHED_S)
    assert not sent.is_cached(LIFE, "other", "sys", 1.0)


def test_a_target_that_has_restarted_has_nothing():
    sent = SentParts()
    sent.sent(LIFE, "s", ["sys"], 1.0)
    assert not sent.is_cached(OTHER, "s", "sys", 1.0)


def test_all_targets_that_were_sent_a_part_hold_it():
    sent = SentParts()
    sent.sent(LIFE, "s", ["sys"], 1.0)
    sent.sent(OTHER, "s", ["sys"], 2.0)
    assert sent.holders("s", "sys", 2.0) == {LIFE, OTHER}
    assert sent.holders("s", "sys", 1.0 + CACHED_S) == {OTHER}
    assert sent.holders("s", "session", 2.0) == frozenset()


def test_the_latest_parts_are_remembered():
    sent = SentParts()
    sent.sent(LIFE, "s", ["hot"], 1.0)
    for number in range(MOST_PARTS - 1):
        sent.sent(LIFE, "s", ["hot", f"p{number}"], 1.0)
    sent.sent(LIFE, "s", ["last"], 1.0)
    assert sent.is_cached(LIFE, "s", "hot", 1.0)
    assert not sent.is_cached(LIFE, "s", "p0", 1.0)


def test_targets_that_are_gone_are_forgotten():
    sent = SentParts()
    sent.sent(LIFE, "s", ["sys"], 1.0)
    sent.keep_only({OTHER})
    assert not sent.is_cached(LIFE, "s", "sys", 1.0)
