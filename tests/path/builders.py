"""A complete VM and fake targets in the test process, for end-to-end tests."""

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
WAIT_TIMEOUT_S = 20.0
FAST_ORDERS = OrdersSettings(
    order_timeout_s=0.5,
    predecessor_lease_s=0.0,
    confirm_timeout_s=0.2,
    lease_retry_s=0.1,
    retry_base_s=0.1,
    ready_delay_s=0.5,
)
POLL_INTERVAL_S = 0.02


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
    """A running VM, with methods to call it and to start targets for it.

    :param nursery: runs the VM and its targets.
    """

    def __init__(self, vm: Vm, nursery: trio.Nursery):
        self.vm = vm
        self.nursery = nursery

    @property
    def base_url(self) -> str:
        return f"http://{self.vm.address('callers')}/v1"

    async def call(self, method, path, body=b"", key=CALLER_KEY, **headers):
        return await self._request("callers", method, path, body, key, headers)

    async def call_as_operator(self, method, path, body=b"", key=OPERATOR_KEY):
        return await self._request("peers", method, path, body, key, {})

    async def apply_ticket(self, body):
        """Send a ticket; return the status and the decoded answer."""
        res = await self.call_as_operator("POST", "/operator/tickets", body)
        return res.status, json.loads(res.content)

    async def add_target(self, **fields):
        """Start a target and wait until this VM owns it."""
        target = await self.start_target(data_centre="dc-1", **fields)
        await self.wait_until(lambda: target.settings.target in self._owned())
        return target

    async def start_target(self, target="t1", data_centre="dc-1", **fields):
        """Start a target that announces itself to this VM."""
        settings = FakeTargetSettings(
            target=target,
            data_centre=data_centre,
            listener=self.vm.address("targets"),
            **fields,
        )
        fake = FakeTarget(settings)
        await self.nursery.start(partial(serve, settings, target=fake))
        return fake

    async def wait_until(self, condition, timeout_s=WAIT_TIMEOUT_S):
        with trio.fail_after(timeout_s):
            while not condition():
                await trio.sleep(POLL_INTERVAL_S)

    def _owned(self):
        return {row["target"] for row in self.vm.components.targets.status()["owned"]}

    async def _request(self, listener, method, path, body, key, headers):
        extra_headers = {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        fields = [("Authorization", f"Bearer {key}"), *extra_headers.items()]
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
    vm = Vm(cfg, random.Random(1), FAST_ORDERS)
    async with trio.open_nursery() as nursery:
        await nursery.start(vm.run)
        running = RunningVm(vm, nursery)
        await running.wait_until(lambda: vm.lifecycle.is_ready)
        if ticket is not None:
            status, answer = await running.apply_ticket(ticket)
            assert status == 200, answer
            index = answer["index"]
            await running.wait_until(lambda: vm.components.config().index >= index)
        yield running
        nursery.cancel_scope.cancel()


def run_with_vm(folder: Path, func, ticket=None, **changes):
    """Start a VM with ``ticket`` in force and return ``await func(running)``.

    :param changes: settings of the VM that differ from the defaults.
    """

    async def main():
        async with running_vm(folder, ticket or make_ticket(), **changes) as running:
            return await func(running)

    return trio.run(main)
