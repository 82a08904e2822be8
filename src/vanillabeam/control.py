"""The control role: replicas of the ticket log and of the claims shards."""

import random
from collections.abc import Awaitable, Callable
from pathlib import Path

import trio
from loguru import logger
from returns.result import Failure, Result

from vanillabeam.claims import ClaimMachine, ClaimSettings
from vanillabeam.config import Config
from vanillabeam.log import Address, Applied, LogClient, LogNode, LogStatus
from vanillabeam.peercall import PeerCall, PeerRoutes
from vanillabeam.settings import Settings
from vanillabeam.tickets import TicketMachine, TicketService

__all__ = ["Control", "ControlClient", "claims_group", "control_addresses"]

TICKETS_GROUP = "tickets"
MEMBERS_PERIOD_S = 2.0

Propose = Callable[[str], Awaitable[Result[Applied, Exception]]]


def claims_group(shard: int) -> str:
    """Return the name of the log of one claims shard."""
    return f"claims-{shard}"


def control_addresses(cfg: Settings, own_address: str) -> list[Address]:
    """Return the control VMs that the settings name, seeds by their address."""
    known = {peer["vm"]: peer["address"] for peer in cfg["peers"]}
    known[cfg["vm"]] = own_address
    members = [Address(vm, known[vm]) for vm in cfg["control"]["members"]]
    named = {member.address for member in members}
    seeds = [seed["address"] for seed in cfg["seeds"]]
    return members + [Address(each, each) for each in seeds if each not in named]


class ControlClient:
    """Asks the control VMs from a VM that is none of them.

    :param members: the control VMs of the settings.
    """

    def __init__(self, cfg: Settings, members: list[Address], call: PeerCall):
        self.tickets = LogClient(TICKETS_GROUP, members, call)
        self.claims = [
            LogClient(claims_group(shard), members, call)
            for shard in range(cfg["claims"]["shards"])
        ]

    def config_changed(self, config: Config) -> None:
        """Ask the control VMs that tickets name from now on."""
        members = [Address(vm, each.address) for vm, each in config.control.items()]
        for client in [self.tickets, *self.claims]:
            client.set_members(members)

    def proposers(self) -> list[Propose]:
        """Return ``propose`` of each claims shard."""
        return [client.propose for client in self.claims]


class Control:
    """The replicas on this VM.

    :param own_address: ``host:port`` of this VM's peers' listener.
    :param rng: seeded; spreads election timeouts.

    >>> control = Control(cfg, "10.0.0.1:7003", call, random.Random())
    >>> await nursery.start(control.run)
    >>> await control.ticket_service.apply(ticket)
    """

    def __init__(
        self, cfg: Settings, own_address: str, call: PeerCall, rng: random.Random
    ):
        self._cfg = cfg
        self._own_address = own_address
        self._call = call
        self._rng = rng
        self._members = control_addresses(cfg, own_address)
        self.machine = TicketMachine()
        self.tickets = self._node(TICKETS_GROUP, self.machine)
        bounds = ClaimSettings(cfg["claims"]["retention_s"])
        self.claim_machines = [
            ClaimMachine(bounds) for _ in range(cfg["claims"]["shards"])
        ]
        self.claims = [
            self._node(claims_group(shard), machine)
            for shard, machine in enumerate(self.claim_machines)
        ]
        self.ticket_service = TicketService(self.machine, self.tickets.propose)

    @property
    def nodes(self) -> list[LogNode]:
        """Every replica on this VM."""
        return [self.tickets, *self.claims]

    def proposers(self) -> list[Propose]:
        """Return ``propose`` of each claims shard."""
        return [node.propose for node in self.claims]

    def routes(self) -> PeerRoutes:
        """Return the handlers for other VMs' calls."""
        routes: PeerRoutes = {}
        for node in self.nodes:
            routes.update(node.routes())
        return routes

    def status(self) -> list[LogStatus]:
        """Return each replica's view of its group."""
        return [node.status() for node in self.nodes]

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Run the replicas and keep their members as the tickets say."""
        async with trio.open_nursery() as nursery:
            for node in self.nodes:
                await nursery.start(node.run)
            nursery.start_soon(self._keep_members)
            task_status.started()

    async def transfer_leadership(self) -> None:
        """Give leadership away before a planned stop."""
        async with trio.open_nursery() as nursery:
            for node in self.nodes:
                nursery.start_soon(node.transfer_leadership)

    def _node(self, group: str, machine) -> LogNode:
        return LogNode(
            group,
            self._cfg["vm"],
            self._own_address,
            Path(self._cfg["data_folder"]),
            machine,
            self._members,
            self._call,
            self._rng,
            bootstrap=self._cfg["control"]["bootstrap"],
        )

    async def _keep_members(self) -> None:
        while True:
            await trio.sleep(MEMBERS_PERIOD_S)
            wanted = set(self.machine.config.control)
            if not wanted:
                continue
            for node in self.nodes:
                if node.is_leader:
                    await _change_one_member(node, wanted)


async def _change_one_member(node: LogNode, wanted: set[str]) -> None:
    """Take one step from the members there are to those that tickets name."""
    there = {member["vm"] for member in node.status()["members"]}
    missing = sorted(wanted - there)
    surplus = sorted(there - wanted)
    if missing:
        result = await node.add_member(missing[0])
    elif surplus:
        result = await node.remove_member(surplus[0])
    else:
        return
    log = logger.bind(group=node.group, peer=(missing or surplus)[0])
    if isinstance(result, Failure):
        log.bind(failure=result.failure().type).warning("member not changed")
    else:
        log.info("member changed")
