"""The state machine of the claims log: which calls were sent, which ran.

Replicated by :mod:`vanillabeam.log`; every replica applies the same commands
and comes to the same state, so nothing here reads a clock or draws a number.
"""

from collections import OrderedDict
from functools import singledispatchmethod
from typing import Any, NamedTuple

import msgspec

from vanillabeam.claims.commands import (
    Abandon,
    Claim,
    Command,
    Finish,
    ReplyStatus,
    Withdraw,
)
from vanillabeam.claims.keys import key_digest, key_time_ms
from vanillabeam.claims.quorumclock import QuorumClock
from vanillabeam.exceptions import InvariantBroken

__all__ = ["ClaimMachine", "ClaimSettings", "OpenClaim", "Record"]

KEY_AHEAD_MS = 300_000
SNAPSHOT_VERSION = 1


class ClaimSettings(NamedTuple):
    """Bounds of the claims log; the same on all replicas of a shard.

    :param retention_s: how long outcomes are kept.
    :param max_records: keys that one shard holds; beyond them claims are refused.
    :param max_outcome_bytes: kept bodies of one shard; beyond them an outcome is
        kept without its body.
    """

    retention_s: float = 30 * 86_400.0
    max_records: int = 200_000
    max_outcome_bytes: int = 64 * 1024 * 1024


class Record(NamedTuple):
    """What is known of one key.

    :param token: the grant under which a call may be on its way; empty if none.
    :param lease_until_ms: end of that grant in its proposer's clock.
    :param doubtful: an earlier grant's fate is open too.
    :param settled: what people had said of this key when it was granted.
    :param outcome: JSON of the outcome, or empty.
    :param name: ``(workspace, key)`` until the call is done.
    """

    digest: str
    token: str
    lease_until_ms: int
    expires_ms: int
    doubtful: bool = False
    settled: bool | None = None
    done: bool = False
    outcome: bytes = b""
    name: tuple[str, str] | None = None


class OpenClaim(NamedTuple):
    """A claim without an outcome, for the operators.

    :param running: its lease had not ended at the latest time known.
    """

    workspace: str
    key: str
    running: bool


class ClaimMachine:
    """Claims of one shard, in the shape that the replicated log drives.

    :param settings: retention and bounds.

    >>> machine = ClaimMachine(ClaimSettings())
    >>> claim = Claim("w", "k1", "t1", "entry1", 1000, "digest", 60_000)
    >>> machine.apply(1, msgspec.json.encode(claim).decode())
    '{"status":"granted"}'
    """

    def __init__(self, settings: ClaimSettings):
        self.settings = settings
        self.clock = QuorumClock()
        self.records: OrderedDict[bytes, Record] = OrderedDict()
        self.outcomes_bytes = 0
        self.forgotten_ms = 0
        self.index = 0

    def apply(self, index: int, command: str) -> str:
        """Change the state by one committed command; return a ``Reply``.

        :raises InvariantBroken: if ``index`` was applied before.
        """
        if index <= self.index:
            raise InvariantBroken(f"claims applied index {index} twice")
        self.index = index
        try:
            decoded = msgspec.json.decode(command, type=Command)
        except msgspec.MsgspecError:
            return _reply(ReplyStatus.IGNORED)
        self.clock.observe(decoded.entry, decoded.now_ms)
        self._forget_expired()
        return self._take(decoded, key_digest(decoded.workspace, decoded.key))

    def snapshot(self) -> bytes:
        """Return the whole state."""
        return msgspec.msgpack.encode(
            {
                "version": SNAPSHOT_VERSION,
                "index": self.index,
                "forgotten_ms": self.forgotten_ms,
                "samples": list(self.clock.samples),
                "records": list(self.records.items()),
            }
        )

    def restore(self, snapshot: bytes) -> None:
        """Replace the whole state by an earlier :meth:`snapshot`.

        :raises InvariantBroken: if a newer release wrote it.
        """
        state = msgspec.msgpack.decode(snapshot, type=_Snapshot)
        if state.version != SNAPSHOT_VERSION:
            raise InvariantBroken(f"claims snapshot of version {state.version}")
        self.index = state.index
        self.forgotten_ms = state.forgotten_ms
        self.clock = QuorumClock(state.samples)
        self.records = OrderedDict(state.records)
        self.outcomes_bytes = sum(len(r.outcome) for r in self.records.values())

    def open_claims(self) -> list[OpenClaim]:
        """Return every claim without an outcome, the oldest first."""
        return [
            OpenClaim(*record.name, running=self._running(record, self.clock.now_ms))
            for record in self.records.values()
            if record.name is not None
        ]

    @singledispatchmethod
    def _take(self, command: Any, name: bytes) -> str:
        raise InvariantBroken(f"claims do not take {type(command).__name__}")

    @_take.register
    def _(self, command: Claim, name: bytes) -> str:
        refusal = self._refuse_key(command.key)
        if refusal:
            return _reply(refusal)
        record = self.records.get(name)
        if record is None:
            return self._grant_first(command, name)
        if record.digest != command.digest:
            return _reply(ReplyStatus.OTHER_BODY)
        if record.done:
            return _done(record)
        if record.token and record.token == command.token:
            return _reply(ReplyStatus.GRANTED)
        if self._running(record, command.now_ms):
            left_ms = record.lease_until_ms - command.now_ms
            return _reply(ReplyStatus.IN_PROGRESS, retry_after_ms=left_ms)
        return self._take_unknown(command, name, record)

    @_take.register
    def _(self, command: Finish, name: bytes) -> str:
        record = self.records.get(name)
        if record is None or record.done:
            return _reply(ReplyStatus.IGNORED)
        outcome = msgspec.json.encode(command.outcome)
        if self.outcomes_bytes + len(outcome) > self.settings.max_outcome_bytes:
            outcome = msgspec.json.encode({**command.outcome, "body": None})
        self._close(name, record, outcome)
        return _reply(ReplyStatus.NOTED)

    @_take.register
    def _(self, command: Withdraw, name: bytes) -> str:
        record = self._granted(command, name)
        if record is None:
            return _reply(ReplyStatus.IGNORED)
        if record.doubtful:
            self._put(name, record._replace(token=""))
        else:
            del self.records[name]
        return _reply(ReplyStatus.NOTED)

    @_take.register
    def _(self, command: Abandon, name: bytes) -> str:
        record = self._granted(command, name)
        if record is None:
            return _reply(ReplyStatus.IGNORED)
        self._put(name, record._replace(token="", doubtful=True))
        return _reply(ReplyStatus.NOTED)

    def _refuse_key(self, key: str) -> ReplyStatus | None:
        time_ms = key_time_ms(key)
        if time_ms is None:
            return None
        seen_ms = max(self.clock.now_ms, self.forgotten_ms)
        if time_ms <= seen_ms - self._retention_ms():
            return ReplyStatus.TOO_OLD
        if time_ms > self.clock.now_ms + KEY_AHEAD_MS:
            return ReplyStatus.FROM_FUTURE
        return None

    def _grant_first(self, command: Claim, name: bytes) -> str:
        if len(self.records) >= self.settings.max_records:
            return _reply(ReplyStatus.FULL)
        record = Record(
            digest=command.digest,
            token=command.token,
            lease_until_ms=command.now_ms + command.lease_ms,
            expires_ms=self._expiry_ms(),
            settled=command.settled,
            name=(command.workspace, command.key),
        )
        self._put(name, record)
        return _reply(ReplyStatus.GRANTED)

    def _take_unknown(self, command: Claim, name: bytes, record: Record) -> str:
        changed = command.settled is not None and command.settled != record.settled
        if changed and command.settled:
            self._close(name, record, b"")
            return _done(self.records[name])
        if not changed and not command.by_key:
            return _reply(ReplyStatus.UNKNOWN)
        record = record._replace(
            token=command.token,
            lease_until_ms=command.now_ms + command.lease_ms,
            expires_ms=self._expiry_ms(),
            doubtful=not changed,
            settled=command.settled if changed else record.settled,
        )
        self._put(name, record)
        self.records.move_to_end(name)
        return _reply(ReplyStatus.GRANTED)

    def _granted(self, command: Withdraw | Abandon, name: bytes) -> Record | None:
        record = self.records.get(name)
        if record is None or record.done or record.token != command.token:
            return None
        return record

    def _running(self, record: Record, now_ms: int) -> bool:
        return bool(record.token) and now_ms < record.lease_until_ms

    def _close(self, name: bytes, record: Record, outcome: bytes) -> None:
        closed = record._replace(
            token="", done=True, outcome=outcome, name=None, doubtful=False
        )
        self._put(name, closed)

    def _put(self, name: bytes, record: Record) -> None:
        before = self.records.get(name)
        if before is not None and before.done:
            raise InvariantBroken("the outcome of a claim changed")
        self.records[name] = record
        self.outcomes_bytes += len(record.outcome)

    def _forget_expired(self) -> None:
        while self.records:
            name, record = next(iter(self.records.items()))
            if record.expires_ms > self.clock.now_ms:
                return
            del self.records[name]
            self.outcomes_bytes -= len(record.outcome)
            self.forgotten_ms = max(self.forgotten_ms, self.clock.now_ms)

    def _expiry_ms(self) -> int:
        """Return when a record made now expires, never before an older one."""
        due_ms = self.clock.now_ms + self._retention_ms() + KEY_AHEAD_MS
        if not self.records:
            return due_ms
        newest = self.records[next(reversed(self.records))]
        return max(due_ms, newest.expires_ms)

    def _retention_ms(self) -> int:
        return int(self.settings.retention_s * 1000)


class _Snapshot(msgspec.Struct):
    version: int
    index: int
    forgotten_ms: int
    samples: list[tuple[str, int]]
    records: list[tuple[bytes, Record]]


def _reply(status: ReplyStatus, **fields: Any) -> str:
    return msgspec.json.encode({"status": status, **fields}).decode()


def _done(record: Record) -> str:
    if not record.outcome:
        return _reply(ReplyStatus.DONE)
    return _reply(ReplyStatus.DONE, outcome=msgspec.Raw(record.outcome))
