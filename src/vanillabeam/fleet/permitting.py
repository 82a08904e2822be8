"""Task of a control VM that grants permits of targets that name a limit."""

import trio
from returns.result import Failure, Result, Success

from vanillabeam import wire
from vanillabeam.exceptions import VanillabeamError
from vanillabeam.fleet.limitlog import log_limit
from vanillabeam.fleet.limitnews import LimitNews
from vanillabeam.fleet.permits import PermitAsk, PermitGranter
from vanillabeam.fleet.ratelimits import read_rate
from vanillabeam.fleet.records import Target

__all__ = ["PermitTask"]

PERIOD_S = 1.0


class PermitTask:
    """Grants permits at this VM, and hears limits in answers to its calls.

    :param address: address of this VM's listener for other VMs.
    :param news: limits that this VM knows of.
    """

    def __init__(self, address: str, news: LimitNews):
        self._news = news
        self._granter = PermitGranter(address)

    async def handle(self, body: bytes) -> Result[bytes, VanillabeamError]:
        """Answer an entry VM's ask."""
        ask = wire.decode(PermitAsk, body)
        if isinstance(ask, Failure):
            return ask
        now_s, ask = trio.current_time(), ask.unwrap()
        incarnation = (ask["target"], ask["born_ms"])
        rate_s = self._news.limits.rate_s(incarnation, now_s)
        return Success(wire.encode(self._granter.grant(ask, rate_s, now_s)))

    def receive_limit(
        self, target: Target, texts: tuple[str, ...], sent_s: float
    ) -> None:
        """Record the limit that a target names in its answer to a call of this VM.

        An answer that names none says nothing: it isn't one to a request.

        :param sent_s: monotonic time at which the call was sent.
        """
        rate_s = read_rate(texts).rate_s
        if rate_s is None:
            return
        change = self._news.limits.record_answer(
            target.incarnation, rate_s, sent_s, trio.current_time()
        )
        if change is not None:
            log_limit(change)
            if change.is_urgent:
                self._news.on_change()

    def granted(self) -> dict[tuple[str, ...], float]:
        """Return the permits of the last seconds by target's name, for metrics."""
        granted = self._granter.granted(trio.current_time())
        return {(name,): float(count) for (name, _), count in granted.items()}

    async def run(self) -> None:
        """Forget what is no longer needed, until cancelled."""
        while True:
            await trio.sleep(PERIOD_S)
            now_s = trio.current_time()
            self._granter.expire(now_s)
            self._news.limits.expire(now_s)
