"""Permits for targets that said that they leave or asked for a pause."""

import trio
from returns.result import Failure

from tests.targets.builders import (
    Network,
    make_announcement,
    make_entries,
    make_route_request,
    run,
)
from vanillabeam.notices import JITTER_SHARE, RETURN_ANSWERS, Notice
from vanillabeam.targets import Outcome, OutcomeKind

DONE = Outcome(OutcomeKind.COMPLETED, 0.2, 1000, 0)
REFUSED = Outcome(OutcomeKind.NOT_RUN)
LEAVES = Notice(leaving=True)
PAUSE_S = 5.0
PAUSES = Notice(pause=f"{PAUSE_S}")


async def start(nursery, *names):
    """Return an entry VM that knows warm targets with these names."""
    targets = Network().add("e1")
    await nursery.start(targets.run)
    targets.members_changed(make_entries("e1"))
    for name in names:
        await targets.announce(make_announcement(name, cold_capacity=8))
    return targets


async def acquire(targets, number=0, **changes):
    request = make_route_request(request_id=f"r{number}", **changes)
    return await targets.acquire(request)


async def refuse_first(targets):
    """Let the target of a first request refuse it with a pause; return its permit."""
    permit = (await acquire(targets)).unwrap()
    targets.record_notice(permit, PAUSES)
    targets.release(permit, REFUSED)
    return permit


async def targets_chosen(targets, count=12):
    """Return the names of the targets that requests one after the other get."""
    names = set()
    for number in range(count):
        permit = (await acquire(targets, number)).unwrap()
        names.add(permit.target)
        targets.release(permit, DONE)
    return names


def test_a_target_that_leaves_gets_no_permit_whatever_it_announces():
    async def main(nursery):
        targets = await start(nursery, "t-1", "t-2")
        first = (await acquire(targets)).unwrap()
        targets.record_notice(first, LEAVES)
        assert not targets.may_send(first)
        targets.release(first, DONE)
        await targets.announce(make_announcement(first.target, cold_capacity=8))
        assert await targets_chosen(targets) == {"t-1", "t-2"} - {first.target}
        assert targets.status()["left_out"] == {first.target: "leaving"}

    run(main)


def test_a_target_that_has_started_again_gets_permits():
    async def main(nursery):
        targets = await start(nursery, "t-1")
        first = (await acquire(targets)).unwrap()
        targets.record_notice(first, LEAVES)
        targets.release(first, DONE)
        assert isinstance(await acquire(targets, 1), Failure)
        await targets.announce(make_announcement("t-1", "b2", cold_capacity=8))
        assert await targets_chosen(targets) == {"t-1"}

    run(main)


def test_a_paused_target_gets_no_permit_until_its_pause_has_ended():
    async def main(nursery):
        targets = await start(nursery, "t-1", "t-2")
        first = await refuse_first(targets)
        assert await targets_chosen(targets) == {"t-1", "t-2"} - {first.target}
        await trio.sleep(PAUSE_S * (1 + JITTER_SHARE))
        assert await targets_chosen(targets, 40) == {"t-1", "t-2"}

    run(main)


def test_if_all_targets_are_paused_a_request_waits_for_the_first_end():
    async def main(nursery):
        targets = await start(nursery, "t-1")
        await refuse_first(targets)
        began_s = trio.current_time()
        second = (await acquire(targets, 1, deadline_s=30.0)).unwrap()
        waited_s = trio.current_time() - began_s
        assert PAUSE_S <= waited_s <= PAUSE_S * (1 + JITTER_SHARE) + 0.2
        targets.release(second, DONE)

    run(main)


def test_a_request_whose_time_ends_before_all_pauses_is_refused_at_once():
    async def main(nursery):
        targets = await start(nursery, "t-1")
        await refuse_first(targets)
        began_s = trio.current_time()
        failure = (await acquire(targets, 1, deadline_s=PAUSE_S - 0.5)).failure()
        assert trio.current_time() == began_s
        assert failure.type == "no-eligible-target"
        assert failure.retry_after_s >= PAUSE_S

    run(main)


def test_after_a_pause_permits_are_granted_a_few_at_a_time():
    """Pattern: all that waits at one VM returns when the pause ends."""

    async def main(nursery):
        targets = await start(nursery, "t-1")
        await refuse_first(targets)
        held, most = [], []

        async def run_one(number):
            permit = (await acquire(targets, number, deadline_s=60.0)).unwrap()
            held.append(permit)
            most.append(len(held))
            await trio.sleep(1.0)
            held.remove(permit)
            targets.release(permit, DONE)

        async with trio.open_nursery() as requests:
            for number in range(8):
                requests.start_soon(run_one, number)
        assert most[0] == 1
        assert max(most[:3]) <= 2
        assert len(most) == 8
        assert max(most) <= RETURN_ANSWERS + 4

    run(main)
