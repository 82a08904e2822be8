import random

import trio
from returns.result import Failure, Success

from tests.claims.builders import CONFIG, FakeLog, make_claims, make_outcome
from vanillabeam.claims import (
    ClaimGrant,
    ClaimInProgress,
    ClaimsClient,
    ClaimsUnavailable,
    ClaimUnknown,
    KeyReused,
    KeyTooLong,
    RecordedOutcome,
    shard_of,
)
from vanillabeam.config import ClaimSettlement, Config
from vanillabeam.exceptions import Run


def run_scenario(scenario):
    """Run ``scenario(claims, log)`` while the client's background task runs."""

    async def main():
        log = FakeLog()
        claims = make_claims(log)
        async with trio.open_nursery() as nursery:
            await nursery.start(claims.run)
            await scenario(claims, log)
            nursery.cancel_scope.cancel()

    trio.run(main)


async def claim_key(claims, digest="d", key="k", by_key=False):
    return await claims.claim("w", key, digest, 30.0, by_key=by_key)


def test_outcome_reaches_a_repeat_at_another_entry():
    async def scenario(claims, log):
        granted = (await claim_key(claims)).unwrap()
        other = make_claims(log, "e2", seed=2)
        assert isinstance((await claim_key(other)).failure(), ClaimInProgress)
        assert isinstance((await claim_key(other, "x")).failure(), KeyReused)
        await claims.finish(granted, make_outcome())
        assert await claim_key(other) == Success(RecordedOutcome(make_outcome()))

    run_scenario(scenario)


def test_without_quorum_the_call_is_refused_as_not_run():
    async def scenario(claims, log):
        log.quorum = False
        failure = (await claim_key(claims)).failure()
        assert isinstance(failure, ClaimsUnavailable)
        assert failure.run is Run.NOT_RUN
        assert claims.queued_count == 0, (
            "nothing to withdraw, as nothing reached the log"
        )

    run_scenario(scenario)


def test_claim_with_a_lost_reply_is_proposed_again_unchanged():
    async def scenario(claims, log):
        log.lose_replies = 1
        assert isinstance((await claim_key(claims)).unwrap(), ClaimGrant)
        assert log.commands[0] == log.commands[1]

    run_scenario(scenario)


def test_claim_whose_reply_never_comes_is_withdrawn():
    async def scenario(claims, log):
        log.lose_replies = 10_000
        assert isinstance((await claim_key(claims)).failure(), ClaimsUnavailable)
        log.lose_replies = 0
        await claims.flush()
        assert isinstance((await claim_key(claims)).unwrap(), ClaimGrant)

    run_scenario(scenario)


# Guards against "unknown" for a call that was just refused as not run: the claim of the
# refused try is in the log until its withdrawal arrives there.
def test_a_retry_elsewhere_after_a_refusal_as_not_run_is_not_called_unknown():
    async def scenario(claims, log):
        other = make_claims(log, "e2", seed=2)
        # Replies to this VM are lost, as just after the restart of the log's leader.
        log.lose_replies = 10_000
        refusal = (await claim_key(claims)).failure()
        assert refusal.run is Run.NOT_RUN
        log.lose_replies = 0
        retry = await claim_key(other)
        if isinstance(retry, Failure):
            assert retry.failure().run is Run.NOT_RUN, retry.failure()

    run_scenario(scenario)


def test_caller_who_leaves_during_the_claim_frees_the_key():
    async def scenario(claims, log):
        log.lose_replies = 10_000
        with trio.CancelScope() as scope:
            scope.cancel()
            await claim_key(claims)
        log.lose_replies = 0
        await claims.flush()
        assert isinstance((await claim_key(claims)).unwrap(), ClaimGrant)

    run_scenario(scenario)


def test_outcome_is_recorded_once_the_quorum_is_back():
    async def scenario(claims, log):
        granted = (await claim_key(claims)).unwrap()
        log.quorum = False
        await claims.finish(granted, make_outcome())
        assert claims.queued_count == 1
        log.quorum = True
        await claims.flush()
        assert await claim_key(claims) == Success(RecordedOutcome(make_outcome()))

    run_scenario(scenario)


def test_settlement_in_the_configuration_frees_an_unknown_key():
    async def scenario(claims, log):
        await claims.abandon((await claim_key(claims)).unwrap())
        assert isinstance((await claim_key(claims)).failure(), ClaimUnknown)
        settlement = ClaimSettlement("w", "k", ran=False)
        claims.config_changed(Config(settlements={"w/k": settlement}))
        assert isinstance((await claim_key(claims)).unwrap(), ClaimGrant)

    run_scenario(scenario)


def test_long_key_is_refused_without_a_proposal():
    async def scenario(claims, log):
        result = await claim_key(claims, key="k" * 256)
        assert isinstance(result, Failure)
        assert isinstance(result.failure(), KeyTooLong)
        assert log.commands == []

    run_scenario(scenario)


def test_keys_spread_over_the_shards():
    async def main():
        logs = [FakeLog() for _ in range(4)]
        proposers = [log.propose for log in logs]
        claims = ClaimsClient("e1", proposers, random.Random(1), CONFIG)
        for number in range(64):
            await claim_key(claims, key=f"k{number}")
        assert [len(log.commands) for log in logs] == [
            sum(shard_of("w", f"k{n}", 4) == shard for n in range(64))
            for shard in range(4)
        ]
        assert all(log.commands for log in logs)

    trio.run(main)
