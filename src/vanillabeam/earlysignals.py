"""Signals that arrive before the event loop runs, kept until it can handle them."""

import signal

__all__ = ["hold_signals", "held_signals"]

HELD = (signal.SIGTERM, signal.SIGHUP)

_held: list[int] = []


def hold_signals() -> None:
    """Keep SIGTERM and SIGHUP from now on, which would end the process by default."""
    for number in HELD:
        signal.signal(number, _keep)


def held_signals() -> list[int]:
    """Return the signals kept so far, in the order of their arrival."""
    return list(_held)


def _keep(number: int, frame: object) -> None:
    _held.append(number)
