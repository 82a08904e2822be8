"""Client of the claims log on entry VMs: claims keys and records outcomes."""

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

__all__ = [
    "ClaimGrant",
    "ClaimsClient",
    "ClaimsClientSettings",
    "Propose",
    "RecordedOutcome",
]

MAX_KEY_CHARS = 255
#: Size of the random part of a token, which keeps tokens of one VM apart.
TOKEN_BITS = 96


class AppliedCommand(Protocol):
    """A command that the log has committed and applied."""

    index: int
    reply: str


#: ``await propose(command)``: commit one command in a shard of the log.
Propose = Callable[[str], Awaitable[Result[AppliedCommand, VanillabeamError]]]


class ClaimsClientSettings(NamedTuple):
    """Timeouts in seconds and the queue size of :class:`ClaimsClient`.

    :param claim_timeout_s: time for which a claim is tried before the call is refused.
    :param retry_interval_s: pause between two tries.
    :param lease_margin_s: time by which a lease outlasts the call's deadline; covers
        the difference between the clocks of two VMs.
    :param record_timeout_s: time for which the client tries to record an outcome.
    :param max_backlog: most outcomes that wait to be recorded; more are dropped.
    """

    claim_timeout_s: float = 5.0
    retry_interval_s: float = 0.2
    lease_margin_s: float = 15.0
    record_timeout_s: float = 600.0
    max_backlog: int = 1000


class ClaimGrant(NamedTuple):
    """The right to send one call once.

    :param token: token of the claim that was granted.
    :param send_by_s: monotonic time in seconds after which the call must not be sent.
    """

    workspace: str
    key: str
    token: str
    send_by_s: float


class RecordedOutcome(NamedTuple):
    """The outcome of an earlier call with the same key.

    :param outcome: ``None`` if operators settled the key as having run.
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
    :param proposers: one ``propose`` for each shard, in the same order on all VMs.
    :param rng: generates tokens.
    :param wall_ms: returns the wall clock in ms.
    :ivar dropped_count: commands that were never recorded.
    :ivar queued_count: commands that wait to be recorded.

    Usage::

        claims = ClaimsClient("entry1", [tickets.propose], random.Random())
        await nursery.start(claims.run)
        granted = await claims.claim("acme", key, digest, 30.0, by_key=False)
    """

    def __init__(
        self,
        entry: str,
        proposers: Sequence[Propose],
        rng: random.Random,
        cfg: ClaimsClientSettings | None = None,
        wall_ms: Callable[[], int] = lambda: time.time_ns() // 1_000_000,
    ):
        self.entry = entry
        self.proposers = tuple(proposers)
        self.cfg = cfg or ClaimsClientSettings()
        self.config = Config()
        self.dropped_count = 0
        self.queued_count = 0
        self._queue_progress = trio.Event()
        self._rng = rng
        self._wall_ms = wall_ms
        self._send, self._receive = trio.open_memory_channel(self.cfg.max_backlog)

    def config_changed(self, config: Config) -> None:
        """Set the configuration, which holds the operators' settlements."""
        self.config = config

    async def run(self, *, task_status: Any = trio.TASK_STATUS_IGNORED) -> None:
        """Retry in the background to record queued commands."""
        task_status.started()
        async with trio.open_nursery() as nursery:
            async for command, until_s in self._receive:
                nursery.start_soon(self._retry_record, command, until_s)

    async def flush(self) -> None:
        """Wait until no command is queued; called before a planned stop."""
        while self.queued_count:
            await self._queue_progress.wait()

    async def claim(
        self,
        workspace: str,
        key: str,
        digest: str,
        deadline_s: float,
        *,
        by_key: bool,
    ) -> Result[ClaimGrant | RecordedOutcome, VanillabeamError]:
        """Request the right to send a call.

        :param digest: digest of the request from :func:`request_digest`.
        :param deadline_s: seconds from now by which the call ends.
        :param by_key: whether the service recognises the key itself.
        :returns: a grant, the recorded outcome, or a failure; the call may only be
            sent under a grant.
        """
        if len(key) > MAX_KEY_CHARS:
            return Failure(KeyTooLong())
        started_s = trio.current_time()
        settlement = self.config.settlements.get(f"{workspace}/{key}")
        command = Claim(
            workspace=workspace,
            key=key,
            token=f"{self.entry}-{self._rng.getrandbits(TOKEN_BITS):x}",
            entry=self.entry,
            now_ms=self._wall_ms(),
            digest=digest,
            lease_ms=int((deadline_s + self.cfg.lease_margin_s) * 1000),
            by_key=by_key,
            settled=settlement.ran if settlement else None,
        )
        until_s = started_s + min(self.cfg.claim_timeout_s, deadline_s)
        reply = await self._claim_when_free(command, until_s)
        if isinstance(reply, Failure):
            return reply
        send_by_s = started_s + deadline_s
        return _parse_claim_reply(reply.unwrap(), command, send_by_s)

    async def finish(self, grant: ClaimGrant, outcome: Outcome) -> None:
        """Record the outcome of a call; retry in the background if that fails."""
        await self._record(Finish(**self._command_fields(grant), outcome=outcome))

    async def withdraw(self, grant: ClaimGrant) -> None:
        """Return a grant under which nothing was sent."""
        await self._record(Withdraw(**self._command_fields(grant)))

    async def abandon(self, grant: ClaimGrant) -> None:
        """Record that the outcome of a call is unknown and will stay so."""
        await self._record(Abandon(**self._command_fields(grant)))

    def _command_fields(self, grant: ClaimGrant | Claim) -> dict[str, Any]:
        return {
            "workspace": grant.workspace,
            "key": grant.key,
            "token": grant.token,
            "entry": self.entry,
            "now_ms": self._wall_ms(),
        }

    async def _claim_when_free(
        self, command: Claim, until_s: float
    ) -> Result[Reply, VanillabeamError]:
        """Propose ``command``, again while another try of the call is in progress.

        That one may end soon, or be withdrawn if it got no reply from the log.
        """
        pause_s = self.cfg.retry_interval_s
        while True:
            reply = await self._propose_claim(command)
            is_over = trio.current_time() + pause_s >= until_s
            if is_over or not _is_in_progress(reply):
                return reply
            await trio.sleep(pause_s)
            pause_s *= 2
            command = msgspec.structs.replace(command, now_ms=self._wall_ms())

    async def _propose_claim(self, command: Claim) -> Result[Reply, VanillabeamError]:
        """Propose ``command`` until it is applied.

        All tries have the same token, so that they count as one claim. If a try may
        have reached the log but no reply came, a withdrawal is queued.
        """
        failure: VanillabeamError = ClaimsUnavailable("no answer in time")
        may_be_in_log = False
        try:
            with trio.move_on_after(self.cfg.claim_timeout_s):
                while True:
                    was_in_log, may_be_in_log = may_be_in_log, True
                    result = await self._propose(command)
                    if isinstance(result, Success):
                        may_be_in_log = False
                        return result
                    failure = result.failure()
                    may_be_in_log = was_in_log or failure.run is not Run.NOT_RUN
                    await trio.sleep(self.cfg.retry_interval_s)
        finally:
            if may_be_in_log:
                self._enqueue(Withdraw(**self._command_fields(command)))
        return Failure(ClaimsUnavailable(failure.type))

    async def _record(self, command: Command) -> None:
        recorded = False
        try:
            with trio.move_on_after(self.cfg.claim_timeout_s):
                recorded = isinstance(await self._propose(command), Success)
        finally:
            if not recorded:
                self._enqueue(command)

    def _enqueue(self, command: Command) -> None:
        until_s = trio.current_time() + self.cfg.record_timeout_s
        try:
            self._send.send_nowait((command, until_s))
        except trio.WouldBlock:
            self._drop(command)
        else:
            self.queued_count += 1

    async def _retry_record(self, command: Command, until_s: float) -> None:
        try:
            while trio.current_time() < until_s:
                result = await self._propose(command)
                if isinstance(result, Success):
                    return
                await trio.sleep(self.cfg.retry_interval_s)
            self._drop(command)
        finally:
            self.queued_count -= 1
            self._queue_progress.set()
            self._queue_progress = trio.Event()

    def _drop(self, command: Command) -> None:
        self.dropped_count += 1
        logger.error("claim not recorded", op=type(command).__name__)

    async def _propose(self, command: Command) -> Result[Reply, VanillabeamError]:
        shard = shard_of(command.workspace, command.key, len(self.proposers))
        result = await self.proposers[shard](msgspec.json.encode(command).decode())
        return result.bind(lambda applied: wire.decode(Reply, applied.reply.encode()))


def _is_in_progress(reply: Result[Reply, VanillabeamError]) -> bool:
    status = reply.map(lambda decoded: decoded["status"]).value_or("")
    return status == ReplyStatus.IN_PROGRESS


def _parse_claim_reply(
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
