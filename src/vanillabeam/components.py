"""Construction and wiring of the components of a VM."""

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
from vanillabeam.orders import LeaseKeeper, Orders, OrdersSettings
from vanillabeam.peercall import PeerCall, PeerRoutes
from vanillabeam.peerhttp import PeerClient
from vanillabeam.remotemembers import RemoteMembers
from vanillabeam.routing import CostWeights
from vanillabeam.settings import Settings
from vanillabeam.spread import DiskFiles, Spread
from vanillabeam.store import DiskFiles as StoreFiles, Store, StoreSettings
from vanillabeam.targets import EntryVm, Targets, TargetsSettings
from vanillabeam.targetwire import (
    Announcement,
    CacheEvents,
    LoadReport,
    Order,
    OrderReply,
)
from vanillabeam.tickets.freshness import FreshIndex

__all__ = ["Components"]


class Components:
    """The components of a VM, made for its roles and connected to each other.

    :param cfg: validated settings.
    :param addresses: ``host:port`` of each listener of this VM, by name.
    :param call: sends messages to other VMs.
    :param target_call: sends messages to targets.
    :param order_call: sends orders to targets; has a longer timeout because
        targets answer orders late.
    :param rng: source of all random choices.
    :param first_epoch: number that increases with each start of this VM.
    :param orders_cfg: times of orders to targets, if not the defaults.
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
        orders_cfg: OrdersSettings | None = None,
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
        self.remote_members = RemoteMembers(self.members, call, self._update_members)
        self.orders = self._make_orders(orders_cfg)
        self.imports = ImportLeases(call, self.orders.may_import)
        self.cache = self._make_cache()
        self.store = self._make_store()
        self.claims = ClaimsClient(cfg["vm"], self.control.proposers(), rng)
        self._add_config_listeners()

    @property
    def is_control(self) -> bool:
        """Whether this VM is one of the control VMs."""
        return "control" in self.cfg["roles"]

    def routes(self) -> PeerRoutes:
        """Return the handlers of messages from other VMs."""
        routes: PeerRoutes = {}
        for part in (self.members, self.spread, self.targets, self.orders):
            routes.update(part.routes())
        routes.update(self.fresh_index.routes())
        routes.update(self.imports.routes())
        if self.store is not None:
            routes.update(self.store.routes())
        if self.is_control:
            routes.update(self.control.routes())
        return routes

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Run all components until cancelled."""
        async with trio.open_nursery() as nursery:
            if self.is_control:
                await nursery.start(self.control.run)
            for part in self._tasks():
                await nursery.start(part.run)
            if self.is_control:
                nursery.start_soon(self._attach_log)
            nursery.start_soon(self._follow_members)
            task_status.started()

    async def transfer_leadership(self) -> None:
        """Report not ready and transfer log leadership, as a planned stop begins."""
        self.members.update_state(ready=False)
        if self.is_control:
            await self.control.transfer_leadership()

    async def hand_over_targets(self) -> None:
        """Hand the owned targets over to other entries.

        Call it when no new request can arrive. If no other entry is alive, the
        targets are kept: open requests still need permits for their retries.
        """
        if any(entry.vm != self.cfg["vm"] for entry in self._live_entries()):
            await self.targets.drain()

    async def announce(self, message: Announcement) -> Result[Any, VanillabeamError]:
        """Process a target's announcement; the answer names the target's owner."""
        self.cache.target_changed(
            message["target"], message["boot_id"], message["models"]
        )
        return await self.targets.announce(message)

    async def load(self, message: LoadReport) -> Result[Any, VanillabeamError]:
        """Process a target's load report."""
        return await self.targets.load(message)

    async def events(self, message: CacheEvents) -> Result[Any, VanillabeamError]:
        """Process a target's cache events."""
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
                Seed(peer["address"], peer["data_centre"])
                for peer in (*self.cfg["peers"], *self.cfg["seeds"])
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

    def _make_orders(self, cfg: OrdersSettings | None) -> Orders:
        control = self._settings_control()
        machine = self.control.machine if self.is_control else None
        read = self.control.tickets.read if self.is_control else None
        self.fresh_index = FreshIndex(control, self.call, machine, read)
        lease_keeper = LeaseKeeper(
            self.cfg["vm"],
            self.addresses["peers"],
            control,
            self.members,
            self.call,
            self._is_ticket_leader,
        )
        return Orders(
            self.cfg["vm"],
            self.cfg["data_centre"],
            lease_keeper,
            self._order_target,
            self.targets.owned,
            self.targets.in_use,
            self._end_imports,
            self.fresh_index.prove,
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

    def _is_ticket_leader(self) -> bool:
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

    def _add_config_listeners(self) -> None:
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
        # Until a read is confirmed, this VM's replica may lack the newest entries
        # of the log. Without a quorum the read fails, but the replica is then no
        # older than the copies of other VMs.
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
            self._update_members()
            await self.members.view_after(view.version)

    def _update_members(self) -> None:
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

    def _live_entries(self) -> list[EntryVm]:
        members = self._known_members()
        return [_entry(member) for member in members if "entry" in member.state.roles]

    def control_addresses(self) -> list[Address]:
        """Return the control VMs named by tickets, or else by the settings."""
        members = self.config().control
        if members:
            return [Address(vm, member.address) for vm, member in members.items()]
        return control_addresses(self.cfg, self.addresses["peers"])

    def owner_address(self, vm: str) -> str:
        """Return the address of an entry's peers' listener.

        :returns: ``host:port``; empty for this VM and for an unknown one.
        """
        if vm == self.cfg["vm"]:
            return ""
        for entry in self._live_entries():
            if entry.vm == vm:
                return entry.address
        return ""

    def known_addresses(self) -> set[str]:
        """Return the addresses of the peers' listeners of all known VMs."""
        view = self.members.view()
        alive = {member.address for member in view.alive}
        remote = {
            address
            for summary in view.summaries.values()
            for _, address in summary.contacts
        }
        configured = (*self.cfg["peers"], *self.cfg["seeds"])
        return alive | remote | {peer["address"] for peer in configured}

    def config(self) -> Config:
        """Return the configuration in force on this VM."""
        return self.spread.config()


def _entry(member: Member) -> EntryVm:
    return EntryVm(
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
