"""Prompts with one part under which each worker ends, end to end."""

import json
from functools import partial
from typing import NamedTuple

import trio
from returns.result import Success
from typer.testing import CliRunner

from tests.fleet.evidence import make_record
from tests.platform.builders import make_document
from tests.platform.poison import POISON, PoisonedPool, send_prompt
from tests.platform.standin import running_platform, wait_until
from vanillabeam.cli import app
from vanillabeam.fleet.machine import make_quarantine_change

WORKERS = 6
DOWN_S = 0.8
CONTACT_S = 3.0
#: The end of a worker after which the bounds hold, and what they allow.
COUNTED_ENDS = 5
MAX_ARRIVALS = 3
CALM_S = 1.5
LENGTH_S = 2 * CONTACT_S + 5.0
POISON_PERIOD_S = 0.15
SOUND_PERIOD_S = 0.08
SHARED = ("f-1", "f-2")


class Sent(NamedTuple):
    """A prompt of a client, and the status that it got at its first attempt."""

    is_poisoned: bool
    at_s: float
    status: int


class Day:
    """Clients that send sound prompts, and poisoned ones from some time on."""

    def __init__(self, platform):
        self.platform = platform
        self.pool = PoisonedPool(platform, DOWN_S)
        self.sent = []
        self._number = 0

    async def play(self):
        document = make_document()
        document["routes"][0]["attempts"] = 2
        await self.platform.call_control("POST", "/api/Config.Put", document)
        for name in await self.pool.start(WORKERS):
            await wait_until(partial(self.platform.has_target, name))
        await self.platform.wait_ready()
        with trio.move_on_after(CALM_S + LENGTH_S):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send_forever, nursery, (), SOUND_PERIOD_S)
                await trio.sleep(CALM_S)
                poison = (POISON,)
                nursery.start_soon(self._send_forever, nursery, poison, POISON_PERIOD_S)

    async def _send_forever(self, nursery, more, period_s):
        while True:
            self._number += 1
            shared = SHARED[self._number % len(SHARED)]
            nursery.start_soon(self._send, self._number, shared, *more)
            await trio.sleep(period_s)

    async def _send(self, number, *parts):
        at_s = trio.current_time()
        status = await send_prompt(self.platform, number, *parts)
        self.sent.append(Sent(POISON in parts, at_s, status))

    @property
    def fifth_end_s(self):
        return self.pool.ends_s[COUNTED_ENDS - 1]

    def arrivals_after_the_fifth_end(self):
        """Return the poisoned prompts that workers got when they must not any more."""
        limit_s = self.fifth_end_s + CONTACT_S
        return [a for a in self.pool.arrivals if a.is_poisoned and a.at_s > limit_s]

    def served_share(self, since_s, until_s=float("inf")):
        """Return the share of sound prompts that were served at the first attempt."""
        statuses = [
            sent.status
            for sent in self.sent
            if not sent.is_poisoned and since_s < sent.at_s < until_s
        ]
        return statuses.count(200) / len(statuses)


def play(tmp_path):
    async def main():
        async with running_platform(tmp_path) as platform:
            day = Day(platform)
            await day.play()
            return day

    return trio.run(main)


# Guards against requests with one part in their prompts that end one target after the
# other, and against sound requests that are lost beside them.
def test_a_part_under_which_targets_end_is_kept_from_the_others(tmp_path):
    day = play(tmp_path)
    assert len(day.pool.ends_s) >= COUNTED_ENDS
    assert len(day.arrivals_after_the_fifth_end()) <= MAX_ARRIVALS
    began_s = min(a.at_s for a in day.pool.arrivals if a.is_poisoned)
    calm = day.served_share(0.0, began_s)
    assert day.served_share(day.fifth_end_s + 2 * CONTACT_S) >= 0.5 * calm
    # What is known not to be servable is refused at once, as not run.
    late = [s for s in day.sent if s.is_poisoned and s.at_s > day.fifth_end_s + 6.0]
    assert {sent.status for sent in late} == {503}


# Guards against a part that nobody can see or release.
def test_an_operator_lists_and_releases_a_quarantined_part(tmp_path):
    runner = CliRunner()

    async def run_command(platform, *words):
        address = f"127.0.0.2:{platform.peer_port}"
        arguments = ["part", *words, "--address", address, "--json"]
        return await trio.to_thread.run_sync(runner.invoke, app, arguments)

    async def main():
        async with running_platform(tmp_path) as platform:
            await platform.call_control("POST", "/api/Config.Put", make_document())
            await platform.wait_ready()
            _, control, _ = [vm.control for vm, _ in platform.vms.values()][:3]
            command = make_quarantine_change("p-1", 0, make_record())
            await wait_until(partial(is_committed, control, command))
            front = platform.vms["front"][0].follower
            await wait_until(lambda: "p-1" in front.view.quarantine)
            listed = await run_command(platform, "list")
            unknown = await run_command(platform, "release", "p-2")
            released = await run_command(platform, "release", "p-1")
            await wait_until(lambda: "p-1" not in front.view.quarantine)
            return listed, unknown, released

    listed, unknown, released = trio.run(main)
    assert list(json.loads(listed.stdout)["quarantine"]) == ["p-1"]
    assert (unknown.exit_code, json.loads(unknown.stdout)["type"]) == (
        1,
        "unknown-part",
    )
    assert json.loads(released.stdout)["quarantine"] == {}


async def is_committed(control, command):
    return isinstance(await control.propose(command), Success)
