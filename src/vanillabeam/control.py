"""The control role: replicas of the ticket log and the claims shards."""

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
    """Return the log group's name of a claims shard."""
    return f"claims-{shard}"


def control_addresses(cfg: Settings, own_address: str) -> list[Address]:
    """Return the control VMs in the settings; a seed's name is its address."""
    addresses = {peer["vm"]: peer["address"] for peer in cfg["peers"]}
    addresses[cfg["vm"]] = own_address
    members = [Address(vm, addresses[vm]) for vm in cfg["control"]["members"]]
    listed = {member.address for member in members}
    seeds = [seed["address"] for seed in cfg["seeds"]]
    return members + [Address(each, each) for each in seeds if each not in listed]


class ControlClient:
    """Client of the control VMs' logs, for a VM without the control role.

    :param cfg: validated settings.
    :param members: control VMs named by the settings.
    :param call: sends messages to other VMs.
    """

    def __init__(self, cfg: Settings, members: list[Address], call: PeerCall):
        self.tickets = LogClient(TICKETS_GROUP, members, call)
        self.claims = [
            LogClient(claims_group(shard), members, call)
            for shard in range(cfg["claims"]["shards"])
        ]

    def config_changed(self, config: Config) -> None:
        """Use the control VMs named by a new configuration."""
        members = [Address(vm, each.address) for vm, each in config.control.items()]
        for client in [self.tickets, *self.claims]:
            client.set_members(members)

    def proposers(self) -> list[Propose]:
        """Return ``propose`` of each claims shard."""
        return [client.propose for client in self.claims]


class Control:
    """The log replicas of a control VM.

    :param cfg: validated settings.
    :param own_address: ``host:port`` of this VM's peers' listener.
    :param call: sends messages to other VMs.
    :param rng: seeded; randomizes election timeouts.

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
        claim_settings = ClaimSettings(cfg["claims"]["retention_s"])
        self.claim_machines = [
            ClaimMachine(claim_settings) for _ in range(cfg["claims"]["shards"])
        ]
        self.claims = [
            self._node(claims_group(shard), machine)
            for shard, machine in enumerate(self.claim_machines)
        ]
        self.ticket_service = TicketService(self.machine, self.tickets.propose)

    @property
    def nodes(self) -> list[LogNode]:
        """All replicas on this VM."""
        return [self.tickets, *self.claims]

    def proposers(self) -> list[Propose]:
        """Return ``propose`` of each claims shard."""
        return [node.propose for node in self.claims]

    def routes(self) -> PeerRoutes:
        """Return the handlers of messages from other VMs."""
        routes: PeerRoutes = {}
        for node in self.nodes:
            routes.update(node.routes())
        return routes

    def status(self) -> list[LogStatus]:
        """Return the status of each replica and its group."""
        return [node.status() for node in self.nodes]

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Run the replicas and adjust their members to the configuration."""
        async with trio.open_nursery() as nursery:
            for node in self.nodes:
                await nursery.start(node.run)
            nursery.start_soon(self._adjust_members)
            task_status.started()

    async def transfer_leadership(self) -> None:
        """Transfer the leadership of all groups, before a planned stop."""
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

    async def _adjust_members(self) -> None:
        while True:
            await trio.sleep(MEMBERS_PERIOD_S)
            wanted = set(self.machine.config.control)
            if not wanted:
                continue
            for node in self.nodes:
                if node.is_leader:
                    await _change_one_member(node, wanted)


async def _change_one_member(node: LogNode, wanted: set[str]) -> None:
    """Add or remove one member to approach the members named by tickets."""
    current = {member["vm"] for member in node.status()["members"]}
    missing = sorted(wanted - current)
    surplus = sorted(current - wanted)
    if missing:
        result = await node.add_member(missing[0])
    elif surplus:
        result = await node.remove_member(surplus[0])
    else:
        return
    log = logger.bind(group=node.group, peer=(missing or surplus)[0])
    if isinstance(result, Failure):
        log.bind(failure=result.failure().type).warning("could not change member")
    else:
        log.info("member changed")
