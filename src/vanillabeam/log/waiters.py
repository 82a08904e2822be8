"""Requests that wait for the core: answered once, by id or by entry."""

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
    """A proposed entry that a request waits for."""

    request_id: int
    term: int


class Waiters:
    """Requests of one replica that have no answer yet.

    :param machine: the state machine that entries are applied to.
    """

    def __init__(self, machine: StateMachine):
        self._machine = machine
        self._next_id = 0
        self._answers: dict[int, trio.MemorySendChannel[Outcome]] = {}
        self._pending_entries: dict[int, list[_PendingEntry]] = {}

    def add(self) -> tuple[int, trio.MemoryReceiveChannel[Outcome]]:
        """Return a new request's id and where its answer arrives."""
        self._next_id += 1
        send, receive = trio.open_memory_channel[Outcome](1)
        self._answers[self._next_id] = send
        return self._next_id, receive

    def drop(self, request_id: int) -> None:
        """Forget a request that nobody waits for any longer."""
        self._answers.pop(request_id, None)

    def answer(
        self, effect: Proposed | NoChangeNeeded | Refused | ReadConfirmed
    ) -> None:
        """Take what the core says of a request."""
        if isinstance(effect, Proposed):
            place = _PendingEntry(effect.request_id, effect.term)
            self._pending_entries.setdefault(effect.index, []).append(place)
        elif isinstance(effect, Refused):
            self._answer(effect.request_id, failure_outcome(effect.failure))
        elif isinstance(effect, ReadConfirmed):
            outcome = Outcome(failure="", index=effect.index)
            self._answer(effect.request_id, outcome)
        else:
            self._answer(effect.request_id, Outcome(failure=""))

    def apply(self, effect: Apply) -> None:
        """Apply committed entries and answer who waits for them."""
        for entry in effect.entries:
            reply = ""
            if entry.kind is EntryKind.COMMAND:
                reply = self._machine.apply(entry.index, entry.body)
            for place in self._pending_entries.pop(entry.index, ()):
                self._answer(place.request_id, _outcome(place, entry, reply))

    def restore(self, effect: Restore) -> None:
        """Replace the state; entries that it skips have unknown outcomes."""
        self._machine.restore(effect.snapshot.data)
        for index in [i for i in self._pending_entries if i <= effect.snapshot.index]:
            for place in self._pending_entries.pop(index):
                self._answer(place.request_id, failure_outcome(OutcomeUnknown()))

    def fail_all(self, failure: LogError) -> None:
        """Answer everything: proposed is unknown, the rest was not taken."""
        places = [place for held in self._pending_entries.values() for place in held]
        self._pending_entries = {}
        for place in places:
            self._answer(
                place.request_id, failure_outcome(OutcomeUnknown(failure.detail))
            )
        for request_id in list(self._answers):
            self._answer(request_id, failure_outcome(failure))

    def _answer(self, request_id: int, outcome: Outcome) -> None:
        send = self._answers.pop(request_id, None)
        if send is not None:
            send.send_nowait(outcome)


def _outcome(place: _PendingEntry, entry: Entry, reply: str) -> Outcome:
    if place.term != entry.term:
        return failure_outcome(ProposalLost())
    return Outcome(failure="", index=entry.index, term=entry.term, reply=reply)
