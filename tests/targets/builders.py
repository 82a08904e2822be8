"""Builders of test data for target ownership, permits and routing."""

import random

import trio
import trio.testing
from returns.result import Failure

from vanillabeam.config import Config, DataCentre, Priority, TargetRole, TargetRoleKind
from vanillabeam.routing.records import RouteRequest, TargetView
from vanillabeam.targets import EntryVm, Targets, TargetsSettings
from vanillabeam.targets.events import (
    Announced,
    LoadReported,
    MembersChanged,
    PermitAnswer,
    PermitRequested,
)
from vanillabeam.targets.exceptions import OwnerUnreachable
from vanillabeam.targets.owner import Owner, handle
from vanillabeam.targets.records import PermitRequest

MODEL = "ledger"
VERSION = "v1"


def make_announcement(target="engine-1", boot_id="b1", data_centre="dc1", **changes):
    announcement = {
        "target": target,
        "boot_id": boot_id,
        "data_centre": data_centre,
        "address": f"{target}:80",
        "kind": "engine",
        "models": {MODEL: VERSION},
        "capacity": 8,
        "cold_capacity": 2,
        "checks_fencing": True,
    }
    return {**announcement, **changes}


def make_report(target="engine-1", boot_id="b1", sequence=0, **changes):
    report = {
        "target": target,
        "boot_id": boot_id,
        "sequence": sequence,
        "running": 0,
        "queued": 0,
        "queued_prefill_tokens": 0,
        "cached_tokens": 0,
        "age_s": 0.0,
    }
    return {**report, **changes}


def make_permit_request(permit_id="p1", target="engine-1", **changes):
    request = PermitRequest(
        permit_id=permit_id,
        target=target,
        holder="e1",
        workspace="icupa",
        model=MODEL,
        version=VERSION,
        adapter="",
        adapter_version="",
        service="",
        priority=Priority.INTERACTIVE,
        deadline_s=60.0,
        prompt_tokens=1000,
    )
    return request._replace(**changes)


def make_route_request(**changes):
    request = RouteRequest(
        request_id="r1",
        workspace="icupa",
        model=MODEL,
        version=VERSION,
        prompt_tokens=1000,
        conversation_root="c1",
    )
    return request._replace(**changes)


def make_view(target="engine-1", **changes):
    view = TargetView(
        target=target,
        boot_id="b1",
        address=f"{target}:80",
        data_centre="dc1",
        owner="e1",
        epoch=1,
        models={MODEL: VERSION},
        adapters={},
        service="",
        limit=8,
        in_use=0,
        queued=0,
        run_s=4.0,
        pending_tokens=0,
        prefill_tokens_s=1000.0,
        link_bytes_s=0.0,
        open=True,
        cold=False,
    )
    return view._replace(**changes)


def make_entries(*names, data_centre="dc1"):
    return tuple(
        EntryVm(name, data_centre, f"{name}:7003", f"{name}:7002") for name in names
    )


def make_owner(settings=None, announcement=None, members=("e1",), cls=Owner):
    me = make_entries(members[0])[0]
    state = cls(me, settings or TargetsSettings(), random.Random(1))
    handle(MembersChanged(make_entries(*members)), state, 0.0)
    handle(Announced(announcement or make_announcement()), state, 0.0)
    return state


def make_config(data_centres_out=(), draining=()):
    return Config(
        index=1,
        data_centres={
            name: DataCentre(name, in_service=False) for name in data_centres_out
        },
        target_roles={
            name: TargetRole(name, TargetRoleKind.DRAINING) for name in draining
        },
    )


def request_permit(state, now_s=0.0, **changes):
    """Request a permit and return the result, ``None`` if the request waits."""
    request = make_permit_request(**changes)
    return answer_of(handle(PermitRequested(request), state, now_s), request.permit_id)


def answer_of(effects, permit_id):
    answers = [
        e for e in effects if isinstance(e, PermitAnswer) and e.permit_id == permit_id
    ]
    return answers[0].result if answers else None


def report(state, now_s=0.0, **changes):
    return handle(LoadReported(make_report(**changes)), state, now_s)


class Network:
    """Connects shells by direct calls; pairs of VMs can be disconnected."""

    def __init__(self):
        self.shells = {}
        self.cut = set()

    def add(self, name, settings=None, data_centre="dc1", **options):
        address = f"{name}:7003"

        async def call(to, path, body):
            await trio.sleep(0.001)
            if frozenset((address, to)) in self.cut or to not in self.shells:
                return Failure(OwnerUnreachable(to))
            return await self.shells[to].routes()[path](body)

        shell = Targets(
            name,
            data_centre,
            call,
            settings or TargetsSettings(),
            random.Random(1),
            address=address,
            targets_address=f"{name}:7002",
            **options,
        )
        self.shells[address] = shell
        return shell


def run(main):
    """Run ``main(nursery)`` on virtual time."""

    async def body():
        async with trio.open_nursery() as nursery:
            await main(nursery)
            nursery.cancel_scope.cancel()

    trio.run(body, clock=trio.testing.MockClock(autojump_threshold=0))
