"""State machine of the claims log: which calls were granted and which ran.

Replicated by :mod:`vanillabeam.log`. Every replica applies the same commands and
must reach the same state, so nothing here reads a clock or a random number.
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
from vanillabeam.claims.medianclock import MedianClock
from vanillabeam.exceptions import InvariantBroken

__all__ = ["ClaimMachine", "ClaimSettings", "OpenClaim", "ClaimRecord"]

#: Keys with a time further in the future than this are refused; records outlive the
#: retention by as much.
MAX_KEY_AHEAD_MS = 300_000
SNAPSHOT_VERSION = 1


class ClaimSettings(NamedTuple):
    """Bounds of the claims log, equal on all replicas of a shard.

    :param retention_s: seconds for which outcomes are kept.
    :param max_records: most keys in one shard; claims of further keys are refused.
    :param max_outcome_bytes: most bytes of outcomes in one shard; further outcomes
        are kept without their bodies.
    """

    retention_s: float = 30 * 86_400.0
    max_records: int = 200_000
    max_outcome_bytes: int = 64 * 1024 * 1024


class ClaimRecord(NamedTuple):
    """State of the claim on one key.

    :param digest: hex digest of the request.
    :param token: token of the open grant, under which a call may be running; empty
        if there is none.
    :param lease_until_ms: end of the open grant's lease on its proposer's clock.
    :param expires_ms: time on the log's clock at which the record is deleted.
    :param is_unresolved: whether the outcome of an earlier grant is unknown.
    :param settled: operators' decision last applied to this key; a claim that carries
        the same one again changes nothing.
    :param done: whether the call ran and its outcome is final.
    :param outcome: JSON of the outcome; empty if there is none.
    :param workspace_key: ``(workspace, key)`` until the call is done.
    """

    digest: str
    token: str
    lease_until_ms: int
    expires_ms: int
    is_unresolved: bool = False
    settled: bool | None = None
    done: bool = False
    outcome: bytes = b""
    workspace_key: tuple[str, str] | None = None


class OpenClaim(NamedTuple):
    """A claim without an outcome, as shown to operators.

    :param running: whether its lease has not ended on the log's clock.
    """

    workspace: str
    key: str
    running: bool


class ClaimMachine:
    """Claims of one shard, as a state machine of the replicated log.

    :param settings: retention and bounds.
    :ivar records: record of each key by its digest, the first to expire first.
    :ivar forgotten_ms: time on the log's clock of the latest deletion of a record.

    >>> machine = ClaimMachine(ClaimSettings())
    >>> claim = Claim("w", "k1", "t1", "entry1", 1000, "digest", 60_000)
    >>> machine.apply(1, msgspec.json.encode(claim).decode())
    '{"status":"granted"}'
    """

    def __init__(self, settings: ClaimSettings):
        self.settings = settings
        self.clock = MedianClock()
        self.records: OrderedDict[bytes, ClaimRecord] = OrderedDict()
        self.outcomes_bytes = 0
        self.forgotten_ms = 0
        self.index = 0

    def apply(self, index: int, command: str) -> str:
        """Apply one committed command and return a ``Reply`` as JSON.

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
        self._evict_expired()
        return self._apply_command(decoded, key_digest(decoded.workspace, decoded.key))

    def snapshot(self) -> bytes:
        """Return the complete state."""
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
        """Replace the complete state by a :meth:`snapshot`.

        :raises InvariantBroken: if another version of the format wrote it.
        """
        state = msgspec.msgpack.decode(snapshot, type=_Snapshot)
        if state.version != SNAPSHOT_VERSION:
            raise InvariantBroken(f"claims snapshot of version {state.version}")
        self.index = state.index
        self.forgotten_ms = state.forgotten_ms
        self.clock = MedianClock(state.samples)
        self.records = OrderedDict(state.records)
        self.outcomes_bytes = sum(len(r.outcome) for r in self.records.values())

    def open_claims(self) -> list[OpenClaim]:
        """Return all claims without an outcome, oldest first."""
        return [
            OpenClaim(
                *record.workspace_key,
                running=self._is_running(record, self.clock.now_ms),
            )
            for record in self.records.values()
            if record.workspace_key is not None
        ]

    @singledispatchmethod
    def _apply_command(self, command: Any, record_id: bytes) -> str:
        raise InvariantBroken(f"claims do not take {type(command).__name__}")

    @_apply_command.register
    def _(self, command: Claim, record_id: bytes) -> str:
        refusal = self._refuse_key(command.key)
        if refusal:
            return _reply(refusal)
        record = self.records.get(record_id)
        if record is None:
            return self._claim_new(command, record_id)
        if record.digest != command.digest:
            return _reply(ReplyStatus.OTHER_BODY)
        if record.done:
            return _done_reply(record)
        if record.token and record.token == command.token:
            return _reply(ReplyStatus.GRANTED)
        if self._is_running(record, command.now_ms):
            remaining_ms = record.lease_until_ms - command.now_ms
            return _reply(ReplyStatus.IN_PROGRESS, retry_after_ms=remaining_ms)
        return self._claim_unresolved(command, record_id, record)

    @_apply_command.register
    def _(self, command: Finish, record_id: bytes) -> str:
        record = self.records.get(record_id)
        if record is None or record.done:
            return _reply(ReplyStatus.IGNORED)
        outcome = msgspec.json.encode(command.outcome)
        if self.outcomes_bytes + len(outcome) > self.settings.max_outcome_bytes:
            outcome = msgspec.json.encode({**command.outcome, "body": None})
        self._complete(record_id, record, outcome)
        return _reply(ReplyStatus.NOTED)

    @_apply_command.register
    def _(self, command: Withdraw, record_id: bytes) -> str:
        record = self._find_granted(command, record_id)
        if record is None:
            return _reply(ReplyStatus.IGNORED)
        if record.is_unresolved:
            self._put(record_id, record._replace(token=""))
        else:
            del self.records[record_id]
        return _reply(ReplyStatus.NOTED)

    @_apply_command.register
    def _(self, command: Abandon, record_id: bytes) -> str:
        record = self._find_granted(command, record_id)
        if record is None:
            return _reply(ReplyStatus.IGNORED)
        self._put(record_id, record._replace(token="", is_unresolved=True))
        return _reply(ReplyStatus.NOTED)

    def _refuse_key(self, key: str) -> ReplyStatus | None:
        time_ms = key_time_ms(key)
        if time_ms is None:
            return None
        latest_ms = max(self.clock.now_ms, self.forgotten_ms)
        if time_ms <= latest_ms - self._retention_ms():
            return ReplyStatus.TOO_OLD
        if time_ms > self.clock.now_ms + MAX_KEY_AHEAD_MS:
            return ReplyStatus.FROM_FUTURE
        return None

    def _claim_new(self, command: Claim, record_id: bytes) -> str:
        if len(self.records) >= self.settings.max_records:
            return _reply(ReplyStatus.FULL)
        record = ClaimRecord(
            digest=command.digest,
            token=command.token,
            lease_until_ms=command.now_ms + command.lease_ms,
            expires_ms=self._expiry_ms(),
            settled=command.settled,
            workspace_key=(command.workspace, command.key),
        )
        self._put(record_id, record)
        return _reply(ReplyStatus.GRANTED)

    def _claim_unresolved(
        self, command: Claim, record_id: bytes, record: ClaimRecord
    ) -> str:
        is_newly_settled = (
            command.settled is not None and command.settled != record.settled
        )
        if is_newly_settled and command.settled:
            self._complete(record_id, record, b"")
            return _done_reply(self.records[record_id])
        if not is_newly_settled and not command.by_key:
            return _reply(ReplyStatus.UNKNOWN)
        record = record._replace(
            token=command.token,
            lease_until_ms=command.now_ms + command.lease_ms,
            expires_ms=self._expiry_ms(),
            is_unresolved=not is_newly_settled,
            settled=command.settled if is_newly_settled else record.settled,
        )
        self._put(record_id, record)
        self.records.move_to_end(record_id)
        return _reply(ReplyStatus.GRANTED)

    def _find_granted(
        self, command: Withdraw | Abandon, record_id: bytes
    ) -> ClaimRecord | None:
        record = self.records.get(record_id)
        if record is None or record.done or record.token != command.token:
            return None
        return record

    def _is_running(self, record: ClaimRecord, now_ms: int) -> bool:
        return bool(record.token) and now_ms < record.lease_until_ms

    def _complete(self, record_id: bytes, record: ClaimRecord, outcome: bytes) -> None:
        completed = record._replace(
            token="",
            done=True,
            outcome=outcome,
            workspace_key=None,
            is_unresolved=False,
        )
        self._put(record_id, completed)

    def _put(self, record_id: bytes, record: ClaimRecord) -> None:
        previous = self.records.get(record_id)
        if previous is not None and previous.done:
            raise InvariantBroken("the outcome of a claim changed")
        self.records[record_id] = record
        self.outcomes_bytes += len(record.outcome)

    def _evict_expired(self) -> None:
        while self.records:
            record_id, record = next(iter(self.records.items()))
            if record.expires_ms > self.clock.now_ms:
                return
            del self.records[record_id]
            self.outcomes_bytes -= len(record.outcome)
            self.forgotten_ms = max(self.forgotten_ms, self.clock.now_ms)

    def _expiry_ms(self) -> int:
        """Return the expiry of a record made now, not before that of older records."""
        expiry_ms = self.clock.now_ms + self._retention_ms() + MAX_KEY_AHEAD_MS
        if not self.records:
            return expiry_ms
        newest = self.records[next(reversed(self.records))]
        return max(expiry_ms, newest.expires_ms)

    def _retention_ms(self) -> int:
        return int(self.settings.retention_s * 1000)


class _Snapshot(msgspec.Struct):
    version: int
    index: int
    forgotten_ms: int
    samples: list[tuple[str, int]]
    records: list[tuple[bytes, ClaimRecord]]


def _reply(status: ReplyStatus, **fields: Any) -> str:
    return msgspec.json.encode({"status": status, **fields}).decode()


def _done_reply(record: ClaimRecord) -> str:
    if not record.outcome:
        return _reply(ReplyStatus.DONE)
    return _reply(ReplyStatus.DONE, outcome=msgspec.Raw(record.outcome))
