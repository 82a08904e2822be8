"""The shells of a VM, made and connected to each other."""

import random
from pathlib import Path
from typing import Any

import trio
from returns.result import Result

from vanillabeam import wire
from vanillabeam.cache import Cache, CacheSettings, Prices, StoreAddress
from vanillabeam.claims import ClaimsClient
from vanillabeam.config import Config
from vanillabeam.control import Control, ControlClient, control_addresses
from vanillabeam.exceptions import VanillabeamError
from vanillabeam.imports import ImportLeases
from vanillabeam.log import Address
from vanillabeam.members import Member, Members, Seed
from vanillabeam.orders import LeaseKeeper, Orders, OrdersConfig
from vanillabeam.peercall import PeerCall, PeerRoutes
from vanillabeam.peerhttp import PeerClient
from vanillabeam.remotemembers import RemoteMembers
from vanillabeam.routing import CostWeights
from vanillabeam.settings import Settings
from vanillabeam.spread import DiskFiles, Spread
from vanillabeam.store import DiskFiles as StoreFiles, Store, StoreSettings
from vanillabeam.targets import Entry, Targets, TargetsSettings
from vanillabeam.targetwire import (
    Announcement,
    CacheEvents,
    LoadReport,
    Order,
    OrderReply,
)
from vanillabeam.tickets.freshness import FreshIndex

__all__ = ["Parts"]


class Parts:
    """What a VM consists of, whatever its roles.

    :param addresses: ``host:port`` of each listener of this VM.
    :param call: reaches other VMs.
    :param target_call: reaches targets.
    :param order_call: reaches targets with orders, which take long to answer.
    :param first_epoch: larger at each start of this VM.
    """

    def __init__(
        self,
        cfg: Settings,
        addresses: dict[str, str],
        call: PeerCall,
        target_call: PeerClient,
        order_call: PeerClient,
        rng: random.Random,
        first_epoch: int,
        orders_cfg: OrdersConfig | None = None,
    ):
        self.cfg = cfg
        self.addresses = addresses
        self.call = call
        self.target_call = target_call
        self.order_call = order_call
        self.rng = rng
        self.control = self._make_control()
        self.members = self._make_members()
        self.spread = self._make_spread()
        self.targets = self._make_targets(first_epoch)
        self.remote_members = RemoteMembers(self.members, call, self._members_changed)
        self.orders = self._make_orders(orders_cfg)
        self.imports = ImportLeases(call, self.orders.may_import)
        self.cache = self._make_cache()
        self.store = self._make_store()
        self.claims = ClaimsClient(cfg["vm"], self.control.proposers(), rng)
        self._listen()

    @property
    def is_control(self) -> bool:
        """Whether this VM is one of the control VMs."""
        return "control" in self.cfg["roles"]

    def routes(self) -> PeerRoutes:
        """Return the handlers for other VMs' calls."""
        routes: PeerRoutes = {}
        for part in (self.members, self.spread, self.targets, self.orders):
            routes.update(part.routes())
        routes.update(self.fresh.routes())
        routes.update(self.imports.routes())
        if self.store is not None:
            routes.update(self.store.routes())
        if self.is_control:
            routes.update(self.control.routes())
        return routes

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Run every shell until cancelled."""
        async with trio.open_nursery() as nursery:
            if self.is_control:
                await nursery.start(self.control.run)
            for part in self._tasks():
                await nursery.start(part.run)
            if self.is_control:
                nursery.start_soon(self._attach_log)
            nursery.start_soon(self._follow_members)
            task_status.started()

    async def leave_control(self) -> None:
        """Give leadership away at the first moment of a planned stop."""
        self.members.update_state(ready=False)
        if self.is_control:
            await self.control.hand_over()

    async def leave_targets(self) -> None:
        """Hand owned targets over, once no new request can come in.

        Where no other entry is alive they are kept: the requests under way
        still need permits for their retries.
        """
        if any(entry.vm != self.cfg["vm"] for entry in self._live_entries()):
            await self.targets.drain()

    async def announce(self, message: Announcement) -> Result[Any, VanillabeamError]:
        """Take a target's announcement; the answer names its owner."""
        self.cache.target_changed(
            message["target"], message["boot_id"], message["models"]
        )
        return await self.targets.announce(message)

    async def load(self, message: LoadReport) -> Result[Any, VanillabeamError]:
        """Take a target's load report."""
        return await self.targets.load(message)

    async def events(self, message: CacheEvents) -> Result[Any, VanillabeamError]:
        """Take a target's cache events."""
        return await self.targets.events(message)

    def _make_control(self) -> Control | ControlClient:
        address = self.addresses["peers"]
        if self.is_control:
            return Control(self.cfg, address, self.call, self.rng)
        members = control_addresses(self.cfg, address)
        return ControlClient(self.cfg, members, self.call)

    def _make_members(self) -> Members:
        members = Members(
            self.cfg["vm"],
            self.addresses["peers"],
            self.cfg["data_centre"],
            [
                Seed(known["address"], known["data_centre"])
                for known in (*self.cfg["peers"], *self.cfg["seeds"])
            ],
            self.call,
            self.rng,
        )
        members.update_state(
            roles=tuple(self.cfg["roles"]), ports=_ports(self.addresses)
        )
        return members

    def _make_spread(self) -> Spread:
        address = self.addresses["peers"]
        control = self._settings_control()
        folder = self.cfg["data_folder"]
        files = DiskFiles(Path(folder) / "spread") if folder else None
        return Spread(address, control, self.members, self.call, self.rng, files)

    def _settings_control(self) -> list[str]:
        members = control_addresses(self.cfg, self.addresses["peers"])
        return [member.address for member in members]

    def _make_targets(self, first_epoch: int) -> Targets:
        routing = self.cfg["routing"]
        return Targets(
            self.cfg["vm"],
            self.cfg["data_centre"],
            self.call,
            TargetsSettings(),
            self.rng,
            address=self.addresses["peers"],
            targets_address=self.addresses["targets"],
            weights=CostWeights(
                recomputed_token_s=routing["recomputed_token_price_s"],
                link_byte_s=routing["link_byte_price_s"],
                token_bytes=routing["kv_token_bytes"],
            ),
            first_epoch=first_epoch,
            target_call=self.target_call,
        )

    def _make_orders(self, cfg: OrdersConfig | None) -> Orders:
        control = self._settings_control()
        machine = self.control.machine if self.is_control else None
        read = self.control.tickets.read if self.is_control else None
        self.fresh = FreshIndex(control, self.call, machine, read)
        keeper = LeaseKeeper(
            self.cfg["vm"],
            self.addresses["peers"],
            control,
            self.members,
            self.call,
            self._leads_tickets,
        )
        return Orders(
            self.cfg["vm"],
            self.cfg["data_centre"],
            keeper,
            self._order_target,
            self.targets.owned,
            self.targets.in_use,
            self._end_imports,
            self.fresh.prove,
            self.rng,
            cfg,
        )

    def _make_cache(self) -> Cache:
        routing = self.cfg["routing"]
        prices = Prices(
            routing["recomputed_token_price_s"], routing["link_byte_price_s"]
        )
        settings = CacheSettings(
            link_bytes_s=routing["link_bytes_s"],
            token_bytes=routing["kv_token_bytes"],
            prices=prices,
        )
        call = self.order_call
        return Cache(self.cfg["vm"], settings, self.call, call, self.rng)

    def _make_store(self) -> Store | None:
        sizes = self.cfg["store"]
        if sizes is None:
            return None
        settings = StoreSettings(sizes["memory_bytes"], sizes["disk_bytes"])
        files = StoreFiles(Path(self.cfg["data_folder"]) / "blocks")
        return Store(self.cfg["vm"], settings, self.rng, files)

    def _leads_tickets(self) -> bool:
        return self.is_control and self.control.tickets.is_leader

    async def _order_target(
        self, address: str, order: Order
    ) -> Result[OrderReply, VanillabeamError]:
        answer = await self.order_call.request(
            "PUT", address, "/order", wire.encode(order)
        )
        return answer.bind(lambda body: wire.decode(OrderReply, body))

    async def _end_imports(self, target: str) -> None:
        await self.imports.drain(target)

    def _listen(self) -> None:
        listeners = [
            self.targets.config_changed,
            self.claims.config_changed,
            self.orders.config_changed,
            self.cache.config_changed,
        ]
        if self.store is not None:
            listeners.append(self.store.config_changed)
        if not self.is_control:
            listeners.append(self.control.config_changed)
        for listener in listeners:
            self.spread.add_listener(listener)

    async def _attach_log(self) -> None:
        # Until a read is confirmed, this VM's replica may hold an old end of
        # the log; without a quorum it is no worse than its peers' copies.
        await self.control.tickets.read()
        self.spread.attach_ticket_log(self.control.ticket_service, self.control.machine)

    def _tasks(self) -> list[Any]:
        tasks = [
            self.members,
            self.spread,
            self.targets,
            self.claims,
            self.remote_members,
        ]
        tasks += [self.orders, self.cache]
        return tasks if self.store is None else [*tasks, self.store]

    async def _follow_members(self) -> None:
        while True:
            view = self.members.view()
            self._members_changed()
            await self.members.view_after(view.version)

    def _members_changed(self) -> None:
        entries = self._live_entries()
        self.targets.members_changed(entries)
        self.cache.entries_changed(max(1, len(entries)))
        stores = self._live_stores()
        self.cache.stores_changed(stores)
        if self.store is not None:
            self.store.stores_changed(tuple(store.name for store in stores))

    def _known_members(self) -> list[Member]:
        return [*self.members.view().alive, *self.remote_members.members()]

    def _live_stores(self) -> list[StoreAddress]:
        return [
            StoreAddress(
                member.name,
                member.address,
                _at_port(member.address, member.state.ports.get("store")),
            )
            for member in self._known_members()
            if "store" in member.state.roles
        ]

    def _live_entries(self) -> list[Entry]:
        members = self._known_members()
        return [_entry(member) for member in members if "entry" in member.state.roles]

    def control_addresses(self) -> list[Address]:
        """Return the control VMs, as tickets name them or else the settings."""
        named = self.config().control
        if named:
            return [Address(vm, member.address) for vm, member in named.items()]
        return control_addresses(self.cfg, self.addresses["peers"])

    def owner_address(self, vm: str) -> str:
        """Return the peers' listener of an entry; empty for this VM."""
        if vm == self.cfg["vm"]:
            return ""
        for entry in self._live_entries():
            if entry.vm == vm:
                return entry.address
        return ""

    def known_addresses(self) -> set[str]:
        """Return the peers' listeners of every VM that this one knows of."""
        view = self.members.view()
        near = {member.address for member in view.alive}
        far = {
            address
            for summary in view.summaries.values()
            for _, address in summary.contacts
        }
        listed = (*self.cfg["peers"], *self.cfg["seeds"])
        return near | far | {known["address"] for known in listed}

    def config(self) -> Config:
        """Return the configuration in force on this VM."""
        return self.spread.config()


def _entry(member: Member) -> Entry:
    return Entry(
        member.name,
        member.data_centre,
        member.address,
        _at_port(member.address, member.state.ports.get("targets")),
    )


def _ports(addresses: dict[str, str]) -> dict[str, int]:
    return {
        name: int(address.rpartition(":")[2])
        for name, address in addresses.items()
        if name in ("targets", "store")
    }


def _at_port(address: str, port: int | None) -> str:
    if port is None:
        return ""
    host, _, _ = address.rpartition(":")
    return f"{host}:{port}"
