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


def in_trio(scenario):
    """Run ``scenario(claims, log)`` beside the shell's own task."""

    async def main():
        log = FakeLog()
        claims = make_claims(log)
        async with trio.open_nursery() as nursery:
            await nursery.start(claims.run)
            await scenario(claims, log)
            nursery.cancel_scope.cancel()

    trio.run(main)


async def ask(claims, digest="d", key="k", by_key=False):
    return await claims.claim("w", key, digest, 30.0, by_key=by_key)


def test_outcome_reaches_a_repeat_at_another_entry():
    async def scenario(claims, log):
        granted = (await ask(claims)).unwrap()
        other = make_claims(log, "e2", seed=2)
        assert isinstance((await ask(other)).failure(), ClaimInProgress)
        assert isinstance((await ask(other, "x")).failure(), KeyReused)
        await claims.finish(granted, make_outcome())
        assert await ask(other) == Success(RecordedOutcome(make_outcome()))

    in_trio(scenario)


def test_without_quorum_the_call_is_refused_as_not_run():
    async def scenario(claims, log):
        log.quorum = False
        failure = (await ask(claims)).failure()
        assert isinstance(failure, ClaimsUnavailable)
        assert failure.run is Run.NOT_RUN
        assert claims.queued_count == 0, "nothing reached the log, nothing to withdraw"

    in_trio(scenario)


def test_lost_reply_is_asked_again_as_the_same_claim():
    async def scenario(claims, log):
        log.lose_replies = 1
        assert isinstance((await ask(claims)).unwrap(), ClaimGrant)
        assert log.commands[0] == log.commands[1]

    in_trio(scenario)


def test_claim_whose_reply_never_comes_is_withdrawn():
    async def scenario(claims, log):
        log.lose_replies = 10_000
        assert isinstance((await ask(claims)).failure(), ClaimsUnavailable)
        log.lose_replies = 0
        await claims.flush()
        assert isinstance((await ask(claims)).unwrap(), ClaimGrant)

    in_trio(scenario)


def test_caller_who_leaves_during_the_claim_frees_the_key():
    async def scenario(claims, log):
        log.lose_replies = 10_000
        with trio.CancelScope() as scope:
            scope.cancel()
            await ask(claims)
        log.lose_replies = 0
        await claims.flush()
        assert isinstance((await ask(claims)).unwrap(), ClaimGrant)

    in_trio(scenario)


def test_outcome_is_recorded_once_the_quorum_is_back():
    async def scenario(claims, log):
        granted = (await ask(claims)).unwrap()
        log.quorum = False
        await claims.finish(granted, make_outcome())
        assert claims.queued_count == 1
        log.quorum = True
        await claims.flush()
        assert await ask(claims) == Success(RecordedOutcome(make_outcome()))

    in_trio(scenario)


def test_settlement_in_the_configuration_frees_an_unknown_key():
    async def scenario(claims, log):
        await claims.abandon((await ask(claims)).unwrap())
        assert isinstance((await ask(claims)).failure(), ClaimUnknown)
        settlement = ClaimSettlement("w", "k", ran=False)
        claims.config_changed(Config(settlements={"w/k": settlement}))
        assert isinstance((await ask(claims)).unwrap(), ClaimGrant)

    in_trio(scenario)


def test_long_key_is_refused_before_the_log_hears_of_it():
    async def scenario(claims, log):
        result = await ask(claims, key="k" * 256)
        assert isinstance(result, Failure)
        assert isinstance(result.failure(), KeyTooLong)
        assert log.commands == []

    in_trio(scenario)


def test_keys_spread_over_the_shards():
    async def main():
        logs = [FakeLog() for _ in range(4)]
        proposers = [log.propose for log in logs]
        claims = ClaimsClient("e1", proposers, random.Random(1), CONFIG)
        for number in range(64):
            await ask(claims, key=f"k{number}")
        assert [len(log.commands) for log in logs] == [
            sum(shard_of("w", f"k{n}", 4) == shard for n in range(64))
            for shard in range(4)
        ]
        assert all(log.commands for log in logs)

    trio.run(main)
