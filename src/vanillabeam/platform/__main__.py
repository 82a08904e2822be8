"""Starts one VM of a fleet on the platform."""

import os
import random
import signal
import sys
from hashlib import blake2b
from pathlib import Path

import trio

from vanillabeam import __version__, logs
from vanillabeam.decisions import SettingsUnreadable, Started, Stopped, log_record
from vanillabeam.fleet.control import FleetControl
from vanillabeam.fleet.records import FleetSettings
from vanillabeam.fleetvm import FleetVm
from vanillabeam.lifecycle import Lifecycle
from vanillabeam.output import LineWriter
from vanillabeam.platform.calls import WorkerCalls
from vanillabeam.platform.control import ControlApp
from vanillabeam.platform.headers import PlatformDialect
from vanillabeam.platform.orders import WorkerOrders
from vanillabeam.platform.readiness import ReadinessApp
from vanillabeam.platform.settings import PATH_VARIABLE, read_settings
from vanillabeam.platform.stores import PlatformStores

SETTINGS_PERIOD_S = 1.0
DIGEST_BYTES = 8


class PlatformAdapter:
    """The platform's side of a VM."""

    def __init__(self):
        self.dialect = PlatformDialect()
        calls = WorkerCalls()
        self.orders = WorkerOrders(calls)
        self.stores = PlatformStores(calls)

    def control_app(self, control: FleetControl) -> ControlApp:
        """Return the application for workers and operators."""
        return ControlApp(control)

    def readiness_app(self, lifecycle: Lifecycle) -> ReadinessApp:
        """Return the application that the provider asks each second."""
        return ReadinessApp(lifecycle)


def main() -> int:
    """Run until SIGTERM has drained the VM; return the exit code."""
    path = Path(os.environ[PATH_VARIABLE])
    cfg = read_settings(path)
    usual = {"format": "json", "level": "INFO", "file": None}
    output = LineWriter(sys.stdout.fileno())
    logs.configure(usual, cfg.vm, cfg.data_centre, output)
    digest = blake2b(path.read_bytes(), digest_size=DIGEST_BYTES).hexdigest()
    role = "control" if cfg.control_address else "entry"
    log_record(Started(__version__, role, digest))
    return trio.run(_run, cfg, path)


async def _run(cfg: FleetSettings, path: Path) -> int:
    vm = FleetVm(cfg, PlatformAdapter(), random.Random())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_obey_signals, vm, path)
        nursery.start_soon(_follow_settings, vm, path)
        await nursery.start(vm.run)
        code = await vm.wait_stopped()
        nursery.cancel_scope.cancel()
    log_record(Stopped(code))
    return code


async def _obey_signals(vm: FleetVm, path: Path) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGHUP) as received:
        async for number in received:
            if number == signal.SIGTERM:
                vm.drain()
            else:
                _reload(vm, path)


async def _follow_settings(vm: FleetVm, path: Path) -> None:
    """Notice changes of the file that come without a signal."""
    while True:
        await trio.sleep(SETTINGS_PERIOD_S)
        _reload(vm, path)


def _reload(vm: FleetVm, path: Path) -> None:
    try:
        vm.update_settings(read_settings(path))
    except (OSError, ValueError, KeyError) as exc:
        log_record(SettingsUnreadable(str(exc)))


if __name__ == "__main__":
    sys.exit(main())
