"""The entry's side of the claims log: asks, records, and keeps trying."""

import random
import time
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, NamedTuple, Protocol

import msgspec
import trio
from loguru import logger
from returns.result import Failure, Result, Success

from vanillabeam import wire
from vanillabeam.claims.commands import (
    Abandon,
    Claim,
    Command,
    Finish,
    Outcome,
    Reply,
    ReplyStatus,
    Withdraw,
)
from vanillabeam.claims.exceptions import (
    ClaimInProgress,
    ClaimsFull,
    ClaimsUnavailable,
    ClaimUnknown,
    KeyFromFuture,
    KeyReused,
    KeyTooLong,
    KeyTooOld,
)
from vanillabeam.claims.keys import shard_of
from vanillabeam.config import Config
from vanillabeam.exceptions import Run, VanillabeamError

__all__ = ["ClaimsClient", "ClaimsConfig", "ClaimGrant", "Propose", "RecordedOutcome"]

KEY_LIMIT_CHARACTERS = 255
TOKEN_BITS = 96


class AppliedCommand(Protocol):
    """A command that the log has committed and applied."""

    index: int
    reply: str


#: ``await propose(command)``: commits one command in a shard of the log.
Propose = Callable[[str], Awaitable[Result[AppliedCommand, VanillabeamError]]]


class ClaimsConfig(NamedTuple):
    """Times of the entry's side, in seconds.

    :param claim_s: how long a claim is tried before the call is refused.
    :param again_s: pause between two tries.
    :param lease_margin_s: lease beyond the call's deadline; covers the
        difference between the clocks of two VMs.
    :param record_s: how long an outcome is tried to be recorded.
    :param backlog: outcomes that wait to be recorded.
    """

    claim_s: float = 5.0
    again_s: float = 0.2
    lease_margin_s: float = 15.0
    record_s: float = 600.0
    backlog: int = 1000


class ClaimGrant(NamedTuple):
    """The right to send one call, once.

    :param send_by_s: monotonic time after which it must not be sent.
    """

    workspace: str
    key: str
    token: str
    send_by_s: float


class RecordedOutcome(NamedTuple):
    """The call has run before.

    :param outcome: ``None`` where people settled it.
    """

    outcome: Outcome | None


_REFUSALS: dict[str, type[VanillabeamError]] = {
    ReplyStatus.UNKNOWN: ClaimUnknown,
    ReplyStatus.OTHER_BODY: KeyReused,
    ReplyStatus.TOO_OLD: KeyTooOld,
    ReplyStatus.FROM_FUTURE: KeyFromFuture,
    ReplyStatus.FULL: ClaimsFull,
}


class ClaimsClient:
    """Claims keys for calls that may not be repeated.

    :param entry: name of this VM.
    :param proposes: one ``propose`` for each shard; the same order on all VMs.
    :param rng: names the grants.
    :param wall_ms: wall clock in ms.

    Usage::

        claims = Claims("entry1", [tickets.propose], random.Random())
        await nursery.start(claims.run)
        granted = await claims.claim("acme", key, digest, 30.0, by_key=False)
    """

    def __init__(
        self,
        entry: str,
        proposes: Sequence[Propose],
        rng: random.Random,
        times: ClaimsConfig | None = None,
        wall_ms: Callable[[], int] = lambda: time.time_ns() // 1_000_000,
    ):
        self.entry = entry
        self.proposes = tuple(proposes)
        self.times = times or ClaimsConfig()
        self.config = Config()
        self.lost = 0
        self.waiting = 0
        self._idle = trio.Event()
        self._rng = rng
        self._wall_ms = wall_ms
        self._send, self._receive = trio.open_memory_channel(self.times.backlog)

    def config_changed(self, config: Config) -> None:
        """Take in the configuration; settlements come from it."""
        self.config = config

    async def run(self, *, task_status: Any = trio.TASK_STATUS_IGNORED) -> None:
        """Record in the background what could not be recorded at once."""
        task_status.started()
        async with trio.open_nursery() as nursery:
            async for command, until_s in self._receive:
                nursery.start_soon(self._record_later, command, until_s)

    async def flush(self) -> None:
        """Wait until nothing is left to be recorded; for a planned stop."""
        while self.waiting:
            await self._idle.wait()

    async def claim(
        self,
        workspace: str,
        key: str,
        digest: str,
        deadline_s: float,
        *,
        by_key: bool,
    ) -> Result[ClaimGrant | RecordedOutcome, VanillabeamError]:
        """Ask for the right to send a call.

        :param digest: from :func:`request_digest`.
        :param deadline_s: seconds from now by which the call ends.
        :param by_key: whether the service recognises the key itself.
        :returns: a grant, what was recorded, or a failure; unless there is a
            grant the call must not be sent.
        """
        if len(key) > KEY_LIMIT_CHARACTERS:
            return Failure(KeyTooLong())
        asked_s = trio.current_time()
        settlement = self.config.settlements.get(f"{workspace}/{key}")
        command = Claim(
            workspace=workspace,
            key=key,
            token=f"{self.entry}-{self._rng.getrandbits(TOKEN_BITS):x}",
            entry=self.entry,
            now_ms=self._wall_ms(),
            digest=digest,
            lease_ms=int((deadline_s + self.times.lease_margin_s) * 1000),
            by_key=by_key,
            settled=settlement.ran if settlement else None,
        )
        reply = await self._claim_in_time(command)
        if isinstance(reply, Failure):
            return reply
        send_by_s = asked_s + deadline_s
        return _read_claim(reply.unwrap(), command, send_by_s)

    async def finish(self, granted: ClaimGrant, outcome: Outcome) -> None:
        """Record what a call answered; goes on trying in the background."""
        await self._record(Finish(**self._named(granted), outcome=outcome))

    async def withdraw(self, granted: ClaimGrant) -> None:
        """Give a grant back, nothing having been sent."""
        await self._record(Withdraw(**self._named(granted)))

    async def abandon(self, granted: ClaimGrant) -> None:
        """Say that nobody will learn what became of the call."""
        await self._record(Abandon(**self._named(granted)))

    def _named(self, granted: ClaimGrant | Claim) -> dict[str, Any]:
        return {
            "workspace": granted.workspace,
            "key": granted.key,
            "token": granted.token,
            "entry": self.entry,
            "now_ms": self._wall_ms(),
        }

    async def _claim_in_time(self, command: Claim) -> Result[Reply, VanillabeamError]:
        """Propose ``command`` until it is applied; the token makes it one claim."""
        failure: VanillabeamError = ClaimsUnavailable("no answer in time")
        in_log = False
        try:
            with trio.move_on_after(self.times.claim_s):
                while True:
                    before, in_log = in_log, True
                    result = await self._propose(command)
                    if isinstance(result, Success):
                        in_log = False
                        return result
                    failure = result.failure()
                    in_log = before or failure.run is not Run.NOT_RUN
                    await trio.sleep(self.times.again_s)
        finally:
            if in_log:
                self._queue(Withdraw(**self._named(command)))
        return Failure(ClaimsUnavailable(failure.type))

    async def _record(self, command: Command) -> None:
        recorded = False
        try:
            with trio.move_on_after(self.times.claim_s):
                recorded = isinstance(await self._propose(command), Success)
        finally:
            if not recorded:
                self._queue(command)

    def _queue(self, command: Command) -> None:
        until_s = trio.current_time() + self.times.record_s
        try:
            self._send.send_nowait((command, until_s))
        except trio.WouldBlock:
            self._lose(command)
        else:
            self.waiting += 1

    async def _record_later(self, command: Command, until_s: float) -> None:
        try:
            while trio.current_time() < until_s:
                result = await self._propose(command)
                if isinstance(result, Success):
                    return
                await trio.sleep(self.times.again_s)
            self._lose(command)
        finally:
            self.waiting -= 1
            self._idle.set()
            self._idle = trio.Event()

    def _lose(self, command: Command) -> None:
        self.lost += 1
        logger.error("claim not recorded", op=type(command).__name__)

    async def _propose(self, command: Command) -> Result[Reply, VanillabeamError]:
        shard = shard_of(command.workspace, command.key, len(self.proposes))
        result = await self.proposes[shard](msgspec.json.encode(command).decode())
        return result.bind(lambda applied: wire.decode(Reply, applied.reply.encode()))


def _read_claim(
    reply: Reply, command: Claim, send_by_s: float
) -> Result[ClaimGrant | RecordedOutcome, VanillabeamError]:
    status = reply["status"]
    if status == ReplyStatus.GRANTED:
        return Success(
            ClaimGrant(command.workspace, command.key, command.token, send_by_s)
        )
    if status == ReplyStatus.DONE:
        raw = reply.get("outcome")
        outcome = msgspec.json.decode(raw, type=Outcome) if raw else None
        return Success(RecordedOutcome(outcome))
    if status == ReplyStatus.IN_PROGRESS:
        retry_after_s = reply.get("retry_after_ms", 0) / 1000
        return Failure(ClaimInProgress(retry_after_s=min(retry_after_s, 5.0)))
    refusal = _REFUSALS.get(status, ClaimsUnavailable)
    return Failure(refusal(f"the claims log says {status}"))
