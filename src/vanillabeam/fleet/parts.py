"""Index of the prompt parts that KV cache stores hold.

The leader of the fleet log fills a :class:`PartIndex` from the stores' events;
entry VMs hold a :class:`PartView`, a copy that is valid only for a limited time
after the leader's last answer.
"""

from collections.abc import Callable
from itertools import takewhile
from typing import NamedTuple, NotRequired, TypedDict

__all__ = [
    "FETCH_LIMIT_S",
    "VIEW_LEASE_S",
    "Key",
    "StoredPart",
    "PartIndex",
    "PartChanges",
    "PartRequest",
    "PartView",
    "RecentFetches",
    "StoreEvent",
]

#: Removals that are kept for readers; one further behind gets the whole index.
MAX_REMOVED = 20_000
#: Number of the most recently fetched parts that requests report.
MAX_FETCHES_KEPT = 32
#: Seconds for which a view is valid, from the sending of its request.
VIEW_LEASE_S = 8.0
#: Seconds after the sending of its request at which a fetch is abandoned.
FETCH_LIMIT_S = 4.0

#: Salt and id of a part.
Key = tuple[str, str]


class StoreEvent(NamedTuple):
    """A part that a store has saved or removed.

    :param tokens: tokens completely saved there; 0 if the part was removed.
    """

    salt: str
    part: str
    tokens: int


class StoredPart(NamedTuple):
    """Location and size of a part in a store.

    :param store: address of the store.
    :param tokens: tokens completely saved there.
    """

    store: str
    tokens: int


class PartRequest(TypedDict):
    """Position in the index that an entry VM's copy has reached.

    :param epoch: id of the process that holds the index.
    :param version: version of the index.
    """

    epoch: str
    version: int


class PartChanges(TypedDict):
    """Changes to the index since a requested version.

    :param term: term of the leader that holds the index.
    :param whole: whether this replaces the reader's copy.
    :param held: salt, part, store and tokens of each added part.
    :param gone: salt and part of each removed part.
    :param clock_ms: present time of the stores' common clock.
    :param resting: addresses of stores that no part is saved in for now, as other
        copies of the index may list what they held; omitted for none.
    """

    epoch: str
    term: int
    version: int
    whole: bool
    held: list[tuple[str, str, str, int]]
    gone: list[tuple[str, str]]
    clock_ms: float
    resting: NotRequired[list[str]]


class PartIndex:
    """Parts by salt and id, with the version at which each changed.

    :param epoch: id that tells this index from those of other leaders.
    :ivar version: increases with each change.

    >>> index = PartIndex("e-1")
    >>> index.apply("10.0.0.5:80", [StoreEvent("s", "p", 128)])
    >>> index.changes_since({"epoch": "", "version": 0}, term=1, clock_ms=0.0)["held"]
    [('s', 'p', '10.0.0.5:80', 128)]
    """

    def __init__(self, epoch: str):
        self.epoch = epoch
        self.version = 0
        #: Parts with the version of their last change, which is also their order.
        self._parts: dict[Key, tuple[StoredPart, int]] = {}
        #: Tokens of each part, by store.
        self._at_store: dict[str, dict[Key, int]] = {}
        self._used_s: dict[Key, float] = {}
        self._removed: dict[Key, int] = {}
        #: Version of the newest removal that is no longer kept.
        self._dropped_version = 0
        self._retired: set[Key] = set()

    def apply(self, store: str, events: list[StoreEvent]) -> None:
        """Apply a store's events in the order in which the store sent them."""
        for event in events:
            key = (event.salt, event.part)
            stored = self._parts.get(key)
            if event.tokens > 0 and key in self._retired:
                continue
            if event.tokens > 0:
                if stored is None or stored[0] != StoredPart(store, event.tokens):
                    self._put(key, StoredPart(store, event.tokens))
            elif stored is not None and stored[0].store == store:
                self._remove(key)

    def reset(self, store: str, events: list[StoreEvent]) -> None:
        """Replace a store's parts by its complete list."""
        listed = {(event.salt, event.part) for event in events}
        for key in [key for key in self._at_store.get(store, ()) if key not in listed]:
            self._remove(key)
        self.apply(store, events)

    def count(self) -> int:
        """Return the number of parts in the index."""
        return len(self._parts)

    def parts_at(self, store: str) -> list[tuple[Key, int]]:
        """Return a store's parts with their tokens, least recently used first."""
        parts = self._at_store.get(store, {}).items()
        return sorted(parts, key=lambda part: self.last_used_s(part[0]))

    def tokens_at(self, store: str) -> int:
        """Return the number of tokens that a store holds."""
        return sum(self._at_store.get(store, {}).values())

    def keys_of(self, store: str, is_selected: Callable[[str], bool]) -> list[Key]:
        """Return the keys of a store's parts whose salt is selected."""
        keys = self._at_store.get(store, {})
        salts = set(filter(is_selected, {salt for salt, _ in keys}))
        return [key for key in keys if key[0] in salts] if salts else []

    def mark_used(self, key: Key, at_s: float) -> None:
        """Record that a part was used at a monotonic time."""
        if key in self._parts:
            self._used_s[key] = max(at_s, self.last_used_s(key))

    def last_used_s(self, key: Key) -> float:
        """Return the monotonic time of a part's last use, or minus infinity."""
        return self._used_s.get(key, float("-inf"))

    def retire(self, key: Key) -> None:
        """Keep a part out of the index until its release, despite store events."""
        self._retired.add(key)
        if key in self._parts:
            self._remove(key)

    def release(self, key: Key) -> None:
        """Allow a retired part back into the index when a store saves it again."""
        self._retired.discard(key)

    def changes_since(
        self, request: PartRequest, term: int, clock_ms: float
    ) -> PartChanges:
        """Return the changes that a reader has not received yet."""
        since = request["version"] if request["epoch"] == self.epoch else 0
        whole = since < max(1, self._dropped_version)
        if whole:
            since = 0
        return PartChanges(
            epoch=self.epoch,
            term=term,
            version=self.version,
            whole=whole,
            held=self._held_after(since),
            gone=[] if whole else self._gone_after(since),
            clock_ms=clock_ms,
        )

    def _held_after(self, since: int) -> list[tuple[str, str, str, int]]:
        """Return the parts that have changed after a version, the newest first.

        Only these are looked at, as many readers ask again several times a second.
        """
        newest_first = reversed(self._parts.items())
        changed = takewhile(lambda item: item[1][1] > since, newest_first)
        return [(*key, stored.store, stored.tokens) for key, (stored, _) in changed]

    def _gone_after(self, since: int) -> list[Key]:
        """Return the parts that were removed after a version, the newest first."""
        newest_first = reversed(self._removed.items())
        return [key for key, _ in takewhile(lambda item: item[1] > since, newest_first)]

    def _put(self, key: Key, stored: StoredPart) -> None:
        self.version += 1
        before = self._parts.pop(key, None)
        if before is not None:
            del self._at_store[before[0].store][key]
        self._parts[key] = (stored, self.version)
        self._at_store.setdefault(stored.store, {})[key] = stored.tokens
        self._removed.pop(key, None)

    def _remove(self, key: Key) -> None:
        self.version += 1
        stored, _ = self._parts.pop(key)
        del self._at_store[stored.store][key]
        self._used_s.pop(key, None)
        self._removed[key] = self.version
        if len(self._removed) > MAX_REMOVED:
            oldest = next(iter(self._removed))
            self._dropped_version = self._removed.pop(oldest)


class PartView:
    """An entry VM's copy of the leader's index.

    >>> view = PartView()
    >>> view.apply(changes, requested_s=1.0, now_s=1.01)
    >>> view.find("s", "p", now_s=1.2)
    StoredPart(store='10.0.0.5:80', tokens=128)
    """

    def __init__(self):
        self.epoch = ""
        self.version = 0
        #: Addresses of stores that no part is saved in for now.
        self.resting: frozenset[str] = frozenset()
        self._term = 0
        self._parts: dict[Key, StoredPart] = {}
        self._requested_s = float("-inf")
        self._clock_ms = 0.0
        self._clock_at_s = 0.0

    def request(self) -> PartRequest:
        """Return the position to request changes from."""
        return PartRequest(epoch=self.epoch, version=self.version)

    def apply(self, changes: PartChanges, requested_s: float, now_s: float) -> None:
        """Apply a leader's answer, unless a later leader has already answered.

        :param requested_s: monotonic time at which the request was sent.
        """
        if changes["term"] < self._term:
            return
        self._term = changes["term"]
        if changes["whole"]:
            self._parts = {}
        for salt, part, store, tokens in changes["held"]:
            self._parts[(salt, part)] = StoredPart(store, tokens)
        for salt, part in changes["gone"]:
            self._parts.pop((salt, part), None)
        self.resting = frozenset(changes.get("resting", ()))
        self.epoch, self.version = changes["epoch"], changes["version"]
        self._requested_s = requested_s
        # The answer's transit time isn't added, so the clock never runs ahead.
        self._clock_ms, self._clock_at_s = changes["clock_ms"], now_s

    def is_fresh(self, now_s: float) -> bool:
        """Return whether the leader answered recently enough to rely on the copy."""
        return now_s - self._requested_s < VIEW_LEASE_S

    def find(self, salt: str, part: str, now_s: float) -> StoredPart | None:
        """Return a part's location, ``None`` if unknown or the copy has expired."""
        return self._parts.get((salt, part)) if self.is_fresh(now_s) else None

    def clock_ms(self, now_s: float) -> float:
        """Return the time of the stores' clock in ms, or slightly less."""
        return self._clock_ms + 1000 * (now_s - self._clock_at_s)


class RecentFetches:
    """Stored parts that targets were told to fetch, with the time of the last one.

    >>> fetches = RecentFetches()
    >>> fetches.mark("salt", "part", now_s=1.0)
    >>> fetches.ages_s(now_s=3.0)
    [('salt', 'part', 2.0)]
    """

    def __init__(self):
        self._times_s: dict[tuple[str, str], float] = {}

    def mark(self, salt: str, part: str, now_s: float) -> None:
        """Record that a target fetches a stored part now."""
        self._times_s.pop((salt, part), None)
        self._times_s[(salt, part)] = now_s
        if len(self._times_s) > MAX_FETCHES_KEPT:
            del self._times_s[next(iter(self._times_s))]

    def ages_s(self, now_s: float) -> list[tuple[str, str, float]]:
        """Return salt and id of each part and the seconds since, the newest last."""
        return [(*key, round(now_s - at_s, 3)) for key, at_s in self._times_s.items()]
