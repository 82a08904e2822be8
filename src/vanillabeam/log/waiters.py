"""Pending requests of a replica, answered once by their id or log entry."""

from typing import NamedTuple

import trio

from vanillabeam.log.events import (
    Apply,
    NoChangeNeeded,
    Proposed,
    ReadConfirmed,
    Refused,
    Restore,
)
from vanillabeam.log.exceptions import LogError, OutcomeUnknown, ProposalLost
from vanillabeam.log.records import Entry, EntryKind, StateMachine
from vanillabeam.log.requests import Outcome, failure_outcome

__all__ = ["Waiters"]


class _PendingEntry(NamedTuple):
    """A proposed entry whose commit a request waits for.

    :param term: term in which the entry was proposed.
    """

    request_id: int
    term: int


class Waiters:
    """Pending requests of one replica.

    :param machine: state machine that committed entries are applied to.
    """

    def __init__(self, machine: StateMachine):
        self._machine = machine
        self._next_id = 0
        self._answers: dict[int, trio.MemorySendChannel[Outcome]] = {}
        self._pending_entries: dict[int, list[_PendingEntry]] = {}

    def add(self) -> tuple[int, trio.MemoryReceiveChannel[Outcome]]:
        """Register a request; return its id and the channel for its outcome."""
        self._next_id += 1
        send, receive = trio.open_memory_channel[Outcome](1)
        self._answers[self._next_id] = send
        return self._next_id, receive

    def drop(self, request_id: int) -> None:
        """Remove a request that timed out or was rejected."""
        self._answers.pop(request_id, None)

    def answer(
        self, effect: Proposed | NoChangeNeeded | Refused | ReadConfirmed
    ) -> None:
        """Answer a request as an effect of the core demands.

        A proposed request is answered only when its entry is applied.
        """
        if isinstance(effect, Proposed):
            pending = _PendingEntry(effect.request_id, effect.term)
            self._pending_entries.setdefault(effect.index, []).append(pending)
        elif isinstance(effect, Refused):
            self._answer(effect.request_id, failure_outcome(effect.failure))
        elif isinstance(effect, ReadConfirmed):
            outcome = Outcome(failure="", index=effect.index)
            self._answer(effect.request_id, outcome)
        else:
            self._answer(effect.request_id, Outcome(failure=""))

    def apply(self, effect: Apply) -> None:
        """Apply committed entries and answer the requests that wait for them."""
        for entry in effect.entries:
            reply = ""
            if entry.kind is EntryKind.COMMAND:
                reply = self._machine.apply(entry.index, entry.body)
            for pending in self._pending_entries.pop(entry.index, ()):
                self._answer(pending.request_id, _outcome(pending, entry, reply))

    def restore(self, effect: Restore) -> None:
        """Restore a snapshot; proposals that it covers have an unknown outcome."""
        self._machine.restore(effect.snapshot.data)
        for index in [i for i in self._pending_entries if i <= effect.snapshot.index]:
            for pending in self._pending_entries.pop(index):
                self._answer(pending.request_id, failure_outcome(OutcomeUnknown()))

    def fail_all(self, failure: LogError) -> None:
        """Answer all requests with a failure.

        The outcome of proposed commands is unknown; the others were not run.
        """
        all_pending = [
            pending
            for pending_at_index in self._pending_entries.values()
            for pending in pending_at_index
        ]
        self._pending_entries = {}
        for pending in all_pending:
            self._answer(
                pending.request_id, failure_outcome(OutcomeUnknown(failure.detail))
            )
        for request_id in list(self._answers):
            self._answer(request_id, failure_outcome(failure))

    def _answer(self, request_id: int, outcome: Outcome) -> None:
        send = self._answers.pop(request_id, None)
        if send is not None:
            send.send_nowait(outcome)


def _outcome(pending: _PendingEntry, entry: Entry, reply: str) -> Outcome:
    if pending.term != entry.term:
        return failure_outcome(ProposalLost())
    return Outcome(failure="", index=entry.index, term=entry.term, reply=reply)
