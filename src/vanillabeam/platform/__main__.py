"""Starts one VM of a fleet on the platform."""

import os
import random
import signal
import sys
from pathlib import Path

import trio
from loguru import logger

from vanillabeam import logs
from vanillabeam.fleet.control import FleetControl
from vanillabeam.fleet.records import FleetSettings
from vanillabeam.fleetvm import FleetVm
from vanillabeam.lifecycle import Lifecycle
from vanillabeam.platform.calls import WorkerCalls
from vanillabeam.platform.control import ControlApp
from vanillabeam.platform.headers import PlatformDialect
from vanillabeam.platform.orders import WorkerOrders
from vanillabeam.platform.readiness import ReadinessApp
from vanillabeam.platform.settings import PATH_VARIABLE, read_settings
from vanillabeam.platform.stores import PlatformStores

SETTINGS_PERIOD_S = 1.0


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
    logs.configure(usual, cfg.vm, cfg.data_centre)
    return trio.run(_run, cfg, path)


async def _run(cfg: FleetSettings, path: Path) -> int:
    vm = FleetVm(cfg, PlatformAdapter(), random.Random())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_obey_signals, vm, path)
        nursery.start_soon(_follow_settings, vm, path)
        await nursery.start(vm.run)
        logger.info("started")
        code = await vm.wait_stopped()
        nursery.cancel_scope.cancel()
    logger.bind(code=code).info("stopped")
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
        vm.settings_changed(read_settings(path))
    except (OSError, ValueError, KeyError) as exc:
        logger.bind(detail=str(exc)).error("settings not readable")


if __name__ == "__main__":
    sys.exit(main())
