"""``vanillabeamd``: one process of the system."""

import signal
from pathlib import Path
from typing import Annotated

import trio
import typer
from loguru import logger
from returns.result import Failure

from vanillabeam import logs
from vanillabeam.settings import Settings, load
from vanillabeam.vm import Vm

__all__ = ["main", "run"]

EXIT_SETTINGS = 2


def main() -> None:
    """Run the daemon from the command line."""
    typer.run(start)


def start(
    settings: Annotated[Path, typer.Option(help="This VM's settings file.")],
) -> None:
    """Run every role that the settings name, until SIGTERM has drained them.

    SIGHUP loads certificates again. A second SIGTERM ends at once. Exit codes:
    0 stopped whole, 2 settings invalid, 3 requests were cut off.
    """
    result = load(settings)
    if isinstance(result, Failure):
        for fault in result.failure().faults or (result.failure().detail,):
            typer.echo(fault, err=True)
        raise typer.Exit(EXIT_SETTINGS)
    cfg = result.unwrap()
    logs.configure(cfg["logs"], cfg["vm"], cfg["data_centre"])
    raise typer.Exit(trio.run(run, cfg))


async def run(cfg: Settings) -> int:
    """Run one VM until it has stopped; return the exit code."""
    vm = Vm(cfg)
    async with trio.open_nursery() as nursery:
        await nursery.start(vm.run)
        logger.info("started")
        nursery.start_soon(_obey_signals, vm)
        code = await vm.wait_stopped()
        nursery.cancel_scope.cancel()
    logger.bind(code=code).info("stopped")
    return code


async def _obey_signals(vm: Vm) -> None:
    numbers = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with trio.open_signal_receiver(*numbers) as received:
        async for number in received:
            if number == signal.SIGHUP:
                vm.reload_tls()
            else:
                vm.drain()


if __name__ == "__main__":
    main()
