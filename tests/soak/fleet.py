"""Starts the VMs of a fleet as real processes; restarts them as the platform does."""

import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
from collections import Counter
from contextlib import asynccontextmanager
from pathlib import Path
from typing import NamedTuple

import trio

from tests.soak.vmmain import FAULTS_VARIABLE, HOST_VARIABLE, PROXY_VARIABLE
from vanillabeam.platform.settings import PATH_VARIABLE

ROOT = Path(__file__).parents[2]
TEMPLATE = ROOT / "deploy" / "settings.json.in"
#: Libraries of the child processes, where they aren't those of this interpreter.
DEPENDENCIES_VARIABLE = "SOAK_DEPENDENCIES"
ENTRY_PORT, READINESS_PORT, CONTROL_PORT = 8202, 8200, 8204
PEER_PORTS = [7420, 7435]
RESTART_DELAY_S = 0.5
POLL_PERIOD_S = 0.02
SEED_COUNT = 3


class Shape(NamedTuple):
    """Size of an installation.

    :param entries: number of entry VMs by data centre.
    :param control: data centre of each control VM.
    :param retry_floor: value of ``budget_min_retries``.
    """

    name: str
    region: str
    entries: dict[str, int]
    control: tuple[str, ...]
    memory_mb: int
    retry_floor: int


ICUPA_ZONES = ("kgl-a", "kgl-b", "kgl-c", "kgl-d")
PHOTO_ZONES = ("mu-north-a", "mu-north-b", "mu-north-c", "mu-north-d")
ICUPA = Shape(
    "icupa",
    "rw-central",
    dict(zip(ICUPA_ZONES, (3, 3, 1, 2), strict=True)),
    ICUPA_ZONES,
    300,
    58,
)
PHOTO = Shape(
    "photo",
    "mu-north",
    dict(zip(PHOTO_ZONES, (2, 2, 1, 1), strict=True)),
    PHOTO_ZONES,
    150,
    52,
)
SMALL = Shape("small", "r", {"a": 1, "b": 1}, ("a", "b", "c"), 150, 52)
SHAPES = {shape.name: shape for shape in (ICUPA, PHOTO, SMALL)}

BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "skew_max_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "cold_over": 1.5,
    "cold_slack": 5,
    "evac_ms": 5000,
    "recover_s": 12,
    "require_fence": True,
    "lease_ms": 3000,
    "thaw_ms": 300,
    "version_ms": 10000,
    "version_all_ms": 14000,
    "expose_share": 0.1,
    "expose_slack": 50,
    "rollback_ms": 5000,
}


class End(NamedTuple):
    """End of a process.

    :param at_s: seconds since the start of the fleet.
    :param code: exit code; negative is a signal.
    :param is_own: whether nothing outside had ended the process.
    """

    vm: str
    at_s: float
    code: int
    is_own: bool


class VmProcess:
    """One VM: its settings file, data folder, log file and present process.

    :ivar process: ``None`` while the VM is down.
    :ivar started_s: start of the present or last process, since that of the fleet.
    :ivar settings: fields that replace those of the settings file.
    :ivar environment: further variables of its process, from its next start on.
    :ivar seeds: seeds of its settings; empty for those of the fleet.
    :ivar is_successor: whether it was started in place of another VM.
    :ivar is_replaced: whether its process never starts again.
    """

    def __init__(self, name, role, data_centre, host):
        self.name = name
        self.role = role
        self.data_centre = data_centre
        self.host = host
        self.process: subprocess.Popen | None = None
        self.started_s = 0.0
        self.starts = 0
        self.settings: dict = {}
        self.environment: dict[str, str] = {}
        self.seeds: list[str] = []
        self.is_successor = False
        self.is_replaced = False
        self.is_wanted = True
        self.down_s = RESTART_DELAY_S
        self.is_ended_by_us = False

    @property
    def is_control(self):
        return self.role == "control"


def reserve_net(net=None):
    """Return the second number of addresses that no other fleet uses, and its lock."""
    numbers = random.SystemRandom().sample(range(1, 255), 254) if net is None else [net]
    for number in numbers:
        lock = socket.socket()
        try:
            lock.bind((f"127.{number}.255.254", PEER_PORTS[0]))
        except OSError:
            lock.close()
            continue
        return number, lock
    raise OSError("all addresses are in use")


class Fleet:
    """VMs of an installation.

    :param folder: for settings, data and logs; it is kept.
    :param net: second number of all addresses, such as 77 for 127.77.0.0/16.
    :param proxy: ``host:port`` that connections between VMs go through.
    :param faults: whether the children load ``childfaults``; each has a folder of
        its own for it, ``NAME/faults``.
    :ivar ends: each end of a process, in order.
    :ivar replaced: VMs that were replaced for good, in order.

    >>> async with running_fleet(folder, ICUPA, random.Random(1)) as fleet:
    ...     fleet.kill("core-kgl-a-1")
    """

    def __init__(self, folder, shape, rng, net=None, proxy="", faults=False):
        self.folder = Path(folder)
        self.shape = shape
        self.rng = rng
        self.net, self._lock = reserve_net(net)
        self.proxy = proxy
        self.faults = faults
        self.ends: list[End] = []
        self.vms: dict[str, VmProcess] = {}
        self.replaced: list[VmProcess] = []
        self._places: Counter = Counter()
        #: Hosts of the control VMs, and since when the operator's list has had them.
        self._lists: list[tuple[float, list[str]]] = []
        self._nursery: trio.Nursery | None = None
        self._start_s = trio.current_time()
        self._zones = sorted({*shape.entries, *shape.control})
        for zone in self._zones:
            for _ in range(shape.entries.get(zone, 0)):
                self._add("entry", zone)
            for _ in range(shape.control.count(zone)):
                self._add("control", zone)
        self._renew_list()
        self.seeds = self.pick_seeds()

    def _add(self, role, zone):
        """Add a VM whose name and address no VM had before."""
        self._places[role, zone] += 1
        place = self._places[role, zone]
        prefix, offset = ("core", 100) if role == "control" else ("front", 0)
        number = self._zones.index(zone) + 1
        host = f"127.{self.net}.{number}.{offset + place}"
        vm = VmProcess(f"{prefix}-{zone}-{place}", role, zone, host)
        self.vms[vm.name] = vm
        return vm

    def _renew_list(self):
        self._lists.append((self.now_s(), [vm.host for vm in self.controls]))

    @property
    def entries(self):
        return [vm for vm in self.vms.values() if not vm.is_control]

    @property
    def controls(self):
        return [vm for vm in self.vms.values() if vm.is_control]

    def now_s(self):
        """Return the seconds since the start of the fleet."""
        return trio.current_time() - self._start_s

    def pick_seeds(self, age_s=0.0):
        """Return the control addresses of three control VMs.

        :param age_s: age of the operator's list that they are taken from.
        """
        until_s = max(self.now_s() - age_s, self._lists[0][0])
        hosts = [hosts for since_s, hosts in self._lists if since_s <= until_s][-1]
        chosen = self.rng.sample(hosts, min(SEED_COUNT, len(hosts)))
        return [f"{host}:{CONTROL_PORT}" for host in chosen]

    def path(self, name, *parts):
        """Return a path in the folder of a VM."""
        return self.folder.joinpath(name, *parts)

    def write_settings(self, name, **changes):
        """Write the settings file of a VM; ``changes`` hold for later ones too."""
        vm = self.vms[name]
        vm.settings |= changes
        fields = self._settings(vm) | vm.settings
        text = TEMPLATE.read_text().replace("{{.|json}}", json.dumps(fields))
        path = self.path(name, "local.json")
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text)
        return path

    def _settings(self, vm):
        zones = {*self.shape.entries, *self.shape.control}
        if vm.is_control:
            listen = {"control": f"{vm.host}:{CONTROL_PORT}"}
        else:
            listen = {
                "front": f"{vm.host}:{ENTRY_PORT}",
                "ready": f"{vm.host}:{READINESS_PORT}",
            }
        return {
            "node": vm.name,
            "role": vm.role,
            "machine_class": "core" if vm.is_control else "front",
            "serves": ["control" if vm.is_control else "front"],
            "ip": vm.host,
            "zone": vm.data_centre,
            "region": self.shape.region,
            "zones": dict.fromkeys(sorted(zones), self.shape.region),
            "listen": listen,
            "port_range": PEER_PORTS,
            "seeds": vm.seeds or self.seeds,
            "bootstrap": vm.starts == 0 and not vm.is_successor,
            "counts_as_loss": vm.is_control,
            "limits": {"memory_mb": self.shape.memory_mb, "max_fds": 4100},
            "data_dir": str(self.path(vm.name, "data")) if vm.is_control else None,
            "discovery": "registered",
            "heartbeat_ms": 1200,
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS | {"budget_min_retries": self.shape.retry_floor},
            "config_mode": "highest",
        }

    def _environment(self, vm, path):
        libraries = os.environ.get(DEPENDENCIES_VARIABLE)
        folders = [str(ROOT / "src"), str(ROOT), *([libraries] if libraries else [])]
        kept = {key: os.environ[key] for key in ("PATH", "HOME") if key in os.environ}
        added = {PATH_VARIABLE: str(path), "PYTHONPATH": os.pathsep.join(folders)}
        if self.proxy:
            added |= {PROXY_VARIABLE: self.proxy, HOST_VARIABLE: vm.host}
        if self.faults:
            added[FAULTS_VARIABLE] = str(self.path(vm.name, "faults"))
        return kept | added | vm.environment

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        """Start all VMs within 0.3 s and keep them running until cancelled."""
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                names = list(self.vms)
                self.rng.shuffle(names)
                for name in names:
                    nursery.start_soon(self._supervise, self.vms[name])
                    await trio.sleep(0.25 / len(names))
                task_status.started()
        finally:
            for vm in (*self.vms.values(), *self.replaced):
                if vm.process is not None:
                    vm.process.kill()
                    vm.process.wait()
            self._lock.close()

    async def _supervise(self, vm):
        while not vm.is_replaced:
            while not vm.is_wanted:
                await trio.sleep(POLL_PERIOD_S)
            self._start(vm)
            code = None
            while code is None:
                await trio.sleep(POLL_PERIOD_S)
                code = vm.process.poll()
            is_own = not vm.is_ended_by_us
            self.ends.append(End(vm.name, self.now_s(), code, is_own))
            vm.process = None
            await trio.sleep(vm.down_s)
            vm.down_s = RESTART_DELAY_S

    def _start(self, vm):
        path = self.write_settings(vm.name)
        for folder in ("data", "faults"):
            self.path(vm.name, folder).mkdir(exist_ok=True)
        module = "tests.soak.vmmain"
        with self.path(vm.name, "log.txt").open("ab") as output:
            vm.process = subprocess.Popen(
                [sys.executable, "-m", module],
                cwd=ROOT,
                env=self._environment(vm, path),
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        vm.starts += 1
        vm.started_s = self.now_s()
        vm.is_ended_by_us = False

    def signal(self, name, number):
        """Send a signal to a VM's process, if it has one."""
        process = self.vms[name].process
        if process is not None:
            process.send_signal(number)

    def kill(self, name, down_s=RESTART_DELAY_S, loses_disk=False):
        """End a VM's process at once; it starts again after a delay."""
        vm = self.vms[name]
        vm.down_s = down_s
        vm.is_ended_by_us = True
        self.signal(name, signal.SIGKILL)
        if vm.process is not None:
            vm.process.wait()
        if loses_disk:
            shutil.rmtree(self.path(name, "data"), ignore_errors=True)

    async def terminate(self, name, down_s=RESTART_DELAY_S):
        """Stop a VM as planned, with SIGKILL after the grace; it starts again."""
        vm = self.vms[name]
        process = vm.process
        if process is None:
            return
        vm.down_s = down_s
        vm.is_ended_by_us = True
        process.send_signal(signal.SIGTERM)
        with trio.move_on_after(BOUNDS["grace_s"]):
            while process.poll() is None:
                await trio.sleep(POLL_PERIOD_S)
            return
        process.kill()

    async def replace(self, name, delay_s, planned=False):
        """Replace a control VM for good; return its successor once both have changed.

        The successor has another name and address, an empty data folder, and the
        seeds of a list that is at most ``seed_lag_s`` old.

        :param delay_s: seconds from the loss to the successor's start; if planned,
            from the successor's start to the SIGTERM of the VM that it replaces.
        """
        vm = self.vms[name]
        if planned:
            successor = self._start_successor(vm)
            await trio.sleep(delay_s)
            vm.is_replaced = True
            await self.terminate(name)
            self._forget(vm)
            return successor
        vm.is_replaced = True
        self.kill(name)
        self._forget(vm)
        await trio.sleep(delay_s)
        return self._start_successor(vm)

    def _forget(self, vm):
        del self.vms[vm.name]
        self.replaced.append(vm)
        self._renew_list()

    def _start_successor(self, vm):
        seeds = self.pick_seeds(self.rng.uniform(0.0, BOUNDS["seed_lag_s"]))
        successor = self._add(vm.role, vm.data_centre)
        successor.is_successor, successor.seeds = True, seeds
        self._renew_list()
        self._nursery.start_soon(self._supervise, successor)
        return successor

    def pause(self, name):
        """Freeze a VM's process."""
        self.signal(name, signal.SIGSTOP)

    def resume(self, name):
        """Thaw a VM's process."""
        self.signal(name, signal.SIGCONT)

    def exchange_seeds(self, *, by_signal=True):
        """Give all VMs new seeds, with SIGHUP or without any signal."""
        self.seeds = self.pick_seeds()
        for name, vm in self.vms.items():
            vm.seeds = []
            self.write_settings(name)
            if by_signal:
                self.signal(name, signal.SIGHUP)

    def peak_memory_mb(self, name):
        """Return the peak memory of a VM's present process."""
        process = self.vms[name].process
        if process is None or process.poll() is not None:
            return 0.0
        for line in Path(f"/proc/{process.pid}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024
        return 0.0


@asynccontextmanager
async def running_fleet(folder, shape, rng=None, **options):
    """Yield a running fleet; end its processes afterwards."""
    fleet = Fleet(folder, shape, rng or random.Random(), **options)
    async with trio.open_nursery() as nursery:
        try:
            await nursery.start(fleet.run)
            yield fleet
        finally:
            nursery.cancel_scope.cancel()
