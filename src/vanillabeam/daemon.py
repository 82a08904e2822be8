"""Command line of ``vanillabeamd``, the daemon of one VM."""

import signal
from pathlib import Path
from typing import Annotated

import trio
import typer
from loguru import logger
from returns.result import Failure

from vanillabeam import logs
from vanillabeam.allocator import return_large_blocks
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
    """Run the roles of this VM until SIGTERM has drained them.

    SIGHUP reloads the certificates. A second SIGTERM stops at once. Exit codes:
    0 all requests answered, 2 settings invalid, 3 requests were cut off.
    """
    return_large_blocks()
    result = load(settings)
    if isinstance(result, Failure):
        for fault in result.failure().faults or (result.failure().detail,):
            typer.echo(fault, err=True)
        raise typer.Exit(EXIT_SETTINGS)
    cfg = result.unwrap()
    logs.configure(cfg["logs"], cfg["vm"], cfg["data_centre"])
    raise typer.Exit(trio.run(run, cfg))


async def run(cfg: Settings) -> int:
    """Run a VM until it has stopped; return the exit code."""
    vm = Vm(cfg)
    async with trio.open_nursery() as nursery:
        await nursery.start(vm.run)
        logger.info("started")
        nursery.start_soon(_handle_signals, vm)
        code = await vm.wait_stopped()
        nursery.cancel_scope.cancel()
    logger.bind(code=code).info("stopped")
    return code


async def _handle_signals(vm: Vm) -> None:
    numbers = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with trio.open_signal_receiver(*numbers) as received:
        async for number in received:
            if number == signal.SIGHUP:
                vm.reload_tls()
            else:
                vm.drain()


if __name__ == "__main__":
    main()
