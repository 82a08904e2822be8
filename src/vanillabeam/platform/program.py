"""Program of the process that runs one VM of a fleet on the platform."""

import os
import random
import signal
import time
from functools import cached_property
from hashlib import blake2b
from pathlib import Path
from typing import TYPE_CHECKING

import trio

from vanillabeam import __version__, logs
from vanillabeam.allocator import return_large_blocks
from vanillabeam.decisions import SettingsUnreadable, Started, Stopped, log_record
from vanillabeam.earlysignals import held_signals
from vanillabeam.fleet.records import FleetSettings
from vanillabeam.fleetvm import FleetVm
from vanillabeam.lifecycle import Lifecycle
from vanillabeam.output import STANDARD_OUTPUT, LineWriter, open_standard_streams
from vanillabeam.platform.client import PlatformClient
from vanillabeam.platform.headers import PlatformDialect
from vanillabeam.platform.readiness import ReadinessApp
from vanillabeam.platform.settings import PATH_VARIABLE, read_settings
from vanillabeam.readiness import EXIT_OK

if TYPE_CHECKING:
    from vanillabeam.fleet.control import FleetControl
    from vanillabeam.platform.control import ControlApp
    from vanillabeam.platform.orders import WorkerOrders
    from vanillabeam.platform.stores import PlatformStores

SETTINGS_PERIOD_S = 1.0
#: Seconds between two attempts to read the settings file at the start.
SETTINGS_RETRY_S = 0.05
LOG_SETTINGS = {"format": "json", "level": "INFO", "file": None}
DIGEST_BYTES = 8


class PlatformAdapter:
    """Platform-specific components of a VM.

    What only the control role needs is imported when it is used.

    :ivar dialect: translates requests, answers and documents.
    """

    def __init__(self):
        self.dialect = PlatformDialect()
        self._client = PlatformClient()

    @cached_property
    def orders(self) -> "WorkerOrders":
        """Client that sends weight orders to workers."""
        from vanillabeam.platform.orders import WorkerOrders

        return WorkerOrders(self._client)

    @cached_property
    def stores(self) -> "PlatformStores":
        """Client of the KV cache stores."""
        from vanillabeam.platform.stores import PlatformStores

        return PlatformStores(self._client)

    def control_app(self, control: "FleetControl") -> "ControlApp":
        """Return the ASGI application that workers and operators call."""
        from vanillabeam.platform.control import ControlApp

        return ControlApp(control)

    def readiness_app(self, lifecycle: Lifecycle) -> ReadinessApp:
        """Return the ASGI application that the provider polls every second."""
        return ReadinessApp(lifecycle)


def run_program() -> int:
    """Run a VM until SIGTERM has drained it; return the exit code."""
    return_large_blocks()
    path = Path(os.environ[PATH_VARIABLE])
    open_standard_streams()
    output = LineWriter(STANDARD_OUTPUT)
    logs.configure(LOG_SETTINGS, "", "", output)
    logs.capture_libraries()
    cfg = _wait_for_settings(path)
    if cfg is None:
        log_record(Stopped(EXIT_OK))
        return EXIT_OK
    logs.configure(LOG_SETTINGS, cfg.vm, cfg.data_centre, output)
    digest = blake2b(repr(cfg).encode(), digest_size=DIGEST_BYTES).hexdigest()
    role = "control" if cfg.control_address else "entry"
    log_record(Started(__version__, role, digest))
    return trio.run(_run, cfg, path)


def _wait_for_settings(path: Path) -> FleetSettings | None:
    """Return the settings once they can be read; ``None`` after SIGTERM.

    The platform may write the file while the process starts.
    """
    reported = ""
    while signal.SIGTERM not in held_signals():
        try:
            return read_settings(path)
        except (OSError, ValueError) as exc:
            if str(exc) != reported:
                log_record(SettingsUnreadable(str(exc)))
            reported = str(exc)
        time.sleep(SETTINGS_RETRY_S)
    return None


async def _run(cfg: FleetSettings, path: Path) -> int:
    vm = FleetVm(cfg, PlatformAdapter(), random.Random())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_handle_signals, vm, path)
        nursery.start_soon(_watch_settings, vm, path)
        nursery.start_soon(vm.run)
        code = await vm.wait_stopped()
        nursery.cancel_scope.cancel()
    log_record(Stopped(code))
    return code


async def _handle_signals(vm: FleetVm, path: Path) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGHUP) as signals:
        for number in held_signals():
            _handle_signal(number, vm, path)
        async for number in signals:
            _handle_signal(number, vm, path)


def _handle_signal(number: int, vm: FleetVm, path: Path) -> None:
    if number == signal.SIGTERM:
        vm.drain()
    else:
        _reload(vm, path)


async def _watch_settings(vm: FleetVm, path: Path) -> None:
    """Reload the settings file periodically, as it may change without a signal."""
    while True:
        await trio.sleep(SETTINGS_PERIOD_S)
        _reload(vm, path)


def _reload(vm: FleetVm, path: Path) -> None:
    try:
        vm.update_settings(read_settings(path))
    except (OSError, ValueError) as exc:
        log_record(SettingsUnreadable(str(exc)))
