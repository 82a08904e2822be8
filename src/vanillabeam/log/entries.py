"""The log in memory: the entries that follow a snapshot."""

from collections.abc import Sequence

import msgspec

from vanillabeam.exceptions import InvariantBroken
from vanillabeam.log.records import NO_SNAPSHOT, Entry, EntryKind, Membership, Snapshot

__all__ = ["EntryLog", "decode_membership", "encode_membership"]


def encode_membership(membership: Membership) -> str:
    """Return the body of a ``MEMBERS`` entry for ``membership``."""
    return msgspec.json.encode(membership._asdict()).decode()


def decode_membership(body: str) -> Membership:
    """Return the membership that the body of a ``MEMBERS`` entry contains."""
    fields = msgspec.json.decode(body)
    for name in ("voters", "learners"):
        fields[name] = msgspec.convert(fields[name], Membership.__annotations__[name])
    fields["allowed"] = tuple(fields["allowed"])
    return Membership(**fields)


class EntryLog:
    """Log entries after a base index, and the memberships that they define.

    :param snapshot: snapshot that defines the base; only its index, term and
        membership are kept.
    :param entries: contiguous entries; those at or below the base are ignored.
    :ivar base_index: index of the last compacted entry.
    :ivar base_term: term of the last compacted entry.
    """

    def __init__(self, snapshot: Snapshot = NO_SNAPSHOT, entries: Sequence[Entry] = ()):
        self.base_index = snapshot.index
        self.base_term = snapshot.term
        self._entries: list[Entry] = []
        self._memberships = [snapshot.membership]
        for entry in entries:
            if entry.index > self.base_index:
                self.append(entry)

    @property
    def last_index(self) -> int:
        """Return the index of the newest entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the newest entry."""
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def membership(self) -> Membership:
        """Return the newest membership, whether or not it is committed."""
        return self._memberships[-1]

    def membership_at(self, index: int) -> Membership:
        """Return the membership as of the entry at ``index``."""
        return next(m for m in reversed(self._memberships) if m.index <= index)

    def term_at(self, index: int) -> int | None:
        """Return the term at ``index``, ``None`` if the entry is not in memory."""
        if index == self.base_index:
            return self.base_term
        entry = self.get(index)
        return None if entry is None else entry.term

    def get(self, index: int) -> Entry | None:
        """Return the entry at ``index``, ``None`` if it is not in memory."""
        position = index - self.base_index - 1
        if 0 <= position < len(self._entries):
            return self._entries[position]
        return None

    def after(self, index: int, count: int | None = None) -> list[Entry]:
        """Return up to ``count`` entries after ``index``."""
        start = max(index - self.base_index, 0)
        end = None if count is None else start + count
        return self._entries[start:end]

    def bytes_between(self, after: int, until: int) -> int:
        """Return the size of the entries after one index and up to another."""
        entries = self.after(after, max(0, until - max(after, self.base_index)))
        return sum(len(entry.body) for entry in entries)

    def start_of(self, until: int, size_bytes: int) -> int:
        """Return the index after which the entries up to ``until`` have some size.

        :param size_bytes: the largest size in bytes.
        """
        index = until
        while index > self.base_index:
            size_bytes -= len(self.get(index).body)
            if size_bytes < 0:
                break
            index -= 1
        return index

    def append(self, entry: Entry) -> None:
        """Append the next entry.

        :raises InvariantBroken: if it leaves a gap or its term decreases.
        """
        if entry.index != self.last_index + 1:
            raise InvariantBroken(f"entry {entry.index} after {self.last_index}")
        if entry.term < self.last_term:
            raise InvariantBroken(f"term {entry.term} after {self.last_term}")
        self._entries.append(entry)
        if entry.kind is EntryKind.MEMBERS:
            self._memberships.append(decode_membership(entry.body))

    def truncate_from(self, index: int) -> None:
        """Remove the entry at ``index`` and all later ones.

        :raises InvariantBroken: if ``index`` is not above the base.
        """
        if index <= self.base_index:
            raise InvariantBroken(f"cut at {index} below base {self.base_index}")
        del self._entries[index - self.base_index - 1 :]
        self._memberships = [m for m in self._memberships if m.index < index]

    def compact(self, index: int) -> None:
        """Remove the entries up to ``index``, which becomes the base.

        :raises InvariantBroken: if the entry at ``index`` is not in memory.
        """
        if index <= self.base_index:
            return
        term = self.term_at(index)
        if term is None:
            raise InvariantBroken(f"compact at {index}, which is not held")
        base_membership = self.membership_at(index)
        newer = [m for m in self._memberships if m.index > index]
        self._memberships = [base_membership, *newer]
        self._entries = self.after(index)
        self.base_index, self.base_term = index, term

    def reset(self, snapshot: Snapshot) -> None:
        """Replace the log by a snapshot received from a leader."""
        self.base_index, self.base_term = snapshot.index, snapshot.term
        self._entries = []
        self._memberships = [snapshot.membership]
