"""A whole VM with a fake target, in one process, for tests of the path."""

import json
import random
from contextlib import asynccontextmanager
from functools import partial
from pathlib import Path

import httpcore
import trio

from bench.fake_target import FakeTarget, FakeTargetSettings, serve
from tests.builders import make_settings
from vanillabeam.orders import OrdersSettings
from vanillabeam.tickets.keys import key_digest
from vanillabeam.vm import Vm

OPERATOR_KEY = "operator-key"
CALLER_KEY = "caller-key"
WAIT_LIMIT_S = 20.0
QUICK_ORDERS = OrdersSettings(
    order_timeout_s=0.5,
    predecessor_lease_s=0.0,
    confirm_timeout_s=0.2,
    lease_retry_s=0.1,
    retry_base_s=0.1,
    ready_delay_s=0.5,
)
STEP_S = 0.02


def make_ticket(number=1, **sections):
    sections = sections or {
        "models": {"m": {"version": "v1"}},
        "services": {"refunds": {"repeats": "never"}, "counts": {"repeats": "safe"}},
        "workspaces": {
            "icupa": {
                "key_digests": [key_digest(CALLER_KEY)],
                "cache_secret": "5a" * 32,
            }
        },
    }
    ticket = {"number": number, "author": "aline", "set": sections}
    return json.dumps(ticket).encode()


class RunningVm:
    """A VM that runs, and how tests talk to it."""

    def __init__(self, vm: Vm, nursery: trio.Nursery):
        self.vm = vm
        self.nursery = nursery

    @property
    def base_url(self) -> str:
        return f"http://{self.vm.address('callers')}/v1"

    async def call(self, method, path, body=b"", key=CALLER_KEY, **headers):
        return await self._request("callers", method, path, body, key, headers)

    async def operate(self, method, path, body=b"", key=OPERATOR_KEY):
        return await self._request("peers", method, path, body, key, {})

    async def apply(self, body):
        res = await self.operate("POST", "/operator/tickets", body)
        return res.status, json.loads(res.content)

    async def add_target(self, **fields):
        target = await self.announce_target(data_centre="dc-1", **fields)
        await self.wait_until(lambda: target.settings.target in self._owned())
        return target

    async def announce_target(self, target="t1", data_centre="dc-1", **fields):
        settings = FakeTargetSettings(
            target=target,
            data_centre=data_centre,
            listener=self.vm.address("targets"),
            **fields,
        )
        fake = FakeTarget(settings)
        await self.nursery.start(partial(serve, settings, target=fake))
        return fake

    async def wait_until(self, condition, limit_s=WAIT_LIMIT_S):
        with trio.fail_after(limit_s):
            while not condition():
                await trio.sleep(STEP_S)

    def _owned(self):
        return {row["target"] for row in self.vm.components.targets.status()["owned"]}

    async def _request(self, listener, method, path, body, key, headers):
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        fields = [("Authorization", f"Bearer {key}"), *named.items()]
        async with httpcore.AsyncConnectionPool() as pool:
            return await pool.request(
                method,
                f"http://{self.vm.address(listener)}{path}",
                headers=fields,
                content=body,
            )


@asynccontextmanager
async def running_vm(folder: Path, ticket=None, **changes):
    cfg = make_settings(
        folder,
        operators=[{"name": "aline", "key_digest": key_digest(OPERATOR_KEY)}],
        drain={"notice_s": 0.2, "deadline_s": 20.0},
        **changes,
    )
    vm = Vm(cfg, random.Random(1), QUICK_ORDERS)
    async with trio.open_nursery() as nursery:
        await nursery.start(vm.run)
        running = RunningVm(vm, nursery)
        await running.wait_until(lambda: vm.lifecycle.is_ready)
        if ticket is not None:
            status, answer = await running.apply(ticket)
            assert status == 200, answer
            index = answer["index"]
            await running.wait_until(lambda: vm.components.config().index >= index)
        yield running
        nursery.cancel_scope.cancel()


def with_vm(folder: Path, act, ticket=None, **changes):
    """Run ``act(running)`` beside a VM that has ``ticket`` in force."""

    async def main():
        async with running_vm(folder, ticket or make_ticket(), **changes) as running:
            return await act(running)

    return trio.run(main)
