"""Where the stores keep which parts of prompts.

The leader of the fleet log fills a :class:`PartIndex` from what the stores
tell; entry VMs hold a :class:`PartView`, a copy that counts only while the
leader has been heard lately.
"""

from typing import NamedTuple, TypedDict

__all__ = [
    "FETCH_LIMIT_S",
    "VIEW_LEASE_S",
    "StoredPart",
    "PartIndex",
    "PartChanges",
    "PartRequest",
    "PartView",
    "StoreEvent",
]

#: Removals that are remembered; a reader that is further behind starts anew.
MAX_REMOVED = 20_000
#: A view counts for so long after the leader's answer was asked for.
VIEW_LEASE_S = 8.0
#: A fetch that has not ended so long after its request was sent is void.
FETCH_LIMIT_S = 4.0


class StoreEvent(NamedTuple):
    """A part that a store now holds, or no longer.

    :param tokens: that are whole there; 0 once it is gone.
    """

    salt: str
    part: str
    tokens: int


class StoredPart(NamedTuple):
    """A part at a store.

    :param store: the store's address.
    """

    store: str
    tokens: int


class PartRequest(TypedDict):
    """What an entry VM has of the index.

    :param epoch: of the index's process.
    """

    epoch: str
    version: int


class PartChanges(TypedDict):
    """What the index has beyond a request.

    :param term: of the leader whose index it is.
    :param whole: the reader starts anew from this.
    :param held: salt, part, store and tokens of each part.
    :param gone: salt and part.
    :param clock_ms: the stores' own clock, now.
    """

    epoch: str
    term: int
    version: int
    whole: bool
    held: list[tuple[str, str, str, int]]
    gone: list[tuple[str, str]]
    clock_ms: float


class PartIndex:
    """Parts by salt and id, with the version at which each changed.

    :param epoch: names this index among those of other leaders.

    >>> index = PartIndex("e-1")
    >>> index.apply("10.0.0.5:80", [StoreEvent("s", "p", 128)])
    >>> index.changes_since({"epoch": "", "version": 0}, term=1, clock_ms=0.0)["held"]
    [('s', 'p', '10.0.0.5:80', 128)]
    """

    def __init__(self, epoch: str):
        self.epoch = epoch
        self.version = 0
        self._held: dict[tuple[str, str], tuple[StoredPart, int]] = {}
        self._used_s: dict[tuple[str, str], float] = {}
        self._removed: dict[tuple[str, str], int] = {}
        self._oldest_removed = 0
        self._retired: set[tuple[str, str]] = set()

    def apply(self, store: str, events: list[StoreEvent]) -> None:
        """Take what a store says, in its order."""
        for event in events:
            key = (event.salt, event.part)
            held = self._held.get(key)
            if event.tokens > 0 and key in self._retired:
                continue
            if event.tokens > 0:
                if held is None or held[0] != StoredPart(store, event.tokens):
                    self.version += 1
                    self._held[key] = (StoredPart(store, event.tokens), self.version)
                    self._removed.pop(key, None)
            elif held is not None and held[0].store == store:
                self._remove(key)

    def reset(self, store: str, events: list[StoreEvent]) -> None:
        """Replace all that is known of a store by its own list."""
        listed = {(event.salt, event.part) for event in events}
        for key, (held, _) in list(self._held.items()):
            if held.store == store and key not in listed:
                self._remove(key)
        self.apply(store, events)

    def count(self) -> int:
        """Return how many parts are named."""
        return len(self._held)

    def parts_at(self, store: str) -> list[tuple[tuple[str, str], int]]:
        """Return parts at a store with their tokens, the longest unused first."""
        found = [
            (key, held.tokens)
            for key, (held, _) in self._held.items()
            if held.store == store
        ]
        return sorted(found, key=lambda each: self.last_used_s(each[0]))

    def mark_used(self, key: tuple[str, str], at_s: float) -> None:
        """Take a part for used at a monotonic time."""
        if key in self._held:
            self._used_s[key] = max(at_s, self.last_used_s(key))

    def last_used_s(self, key: tuple[str, str]) -> float:
        """Return when a part was last used."""
        return self._used_s.get(key, float("-inf"))

    def retire(self, key: tuple[str, str]) -> None:
        """Name a part no longer, whatever its store says, until its release."""
        self._retired.add(key)
        if key in self._held:
            self._remove(key)

    def release(self, key: tuple[str, str]) -> None:
        """Let a retired part be named again once a store holds it anew."""
        self._retired.discard(key)

    def changes_since(
        self, request: PartRequest, term: int, clock_ms: float
    ) -> PartChanges:
        """Return what a reader has not heard yet."""
        since = request["version"] if request["epoch"] == self.epoch else 0
        whole = since < max(1, self._oldest_removed)
        if whole:
            since = 0
        return PartChanges(
            epoch=self.epoch,
            term=term,
            version=self.version,
            whole=whole,
            held=[
                (*key, held.store, held.tokens)
                for key, (held, at) in self._held.items()
                if at > since
            ],
            gone=[] if whole else [k for k, at in self._removed.items() if at > since],
            clock_ms=clock_ms,
        )

    def _remove(self, key: tuple[str, str]) -> None:
        self.version += 1
        del self._held[key]
        self._used_s.pop(key, None)
        self._removed[key] = self.version
        if len(self._removed) > MAX_REMOVED:
            oldest = next(iter(self._removed))
            self._oldest_removed = self._removed.pop(oldest)


class PartView:
    """An entry VM's copy of the index.

    >>> view = PartView()
    >>> view.apply(news, asked_s=1.0, now_s=1.01)
    >>> view.find("s", "p", now_s=1.2)
    StoredPart(store='10.0.0.5:80', tokens=128)
    """

    def __init__(self):
        self.epoch = ""
        self.version = 0
        self._term = 0
        self._held: dict[tuple[str, str], StoredPart] = {}
        self._asked_s = float("-inf")
        self._clock_ms = 0.0
        self._clock_at_s = 0.0

    def request(self) -> PartRequest:
        """Return what to ask the leader with."""
        return PartRequest(epoch=self.epoch, version=self.version)

    def apply(self, news: PartChanges, asked_s: float, now_s: float) -> None:
        """Take a leader's answer, unless a later leader has been heard.

        :param asked_s: monotonic time at which the question was sent.
        """
        if news["term"] < self._term:
            return
        self._term = news["term"]
        if news["whole"]:
            self._held = {}
        for salt, part, store, tokens in news["held"]:
            self._held[(salt, part)] = StoredPart(store, tokens)
        for salt, part in news["gone"]:
            self._held.pop((salt, part), None)
        self.epoch, self.version = news["epoch"], news["version"]
        self._asked_s = asked_s
        # The answer's own way counts as passed: the clock is never ahead.
        self._clock_ms, self._clock_at_s = news["clock_ms"], now_s

    def is_fresh(self, now_s: float) -> bool:
        """Return whether the leader was heard lately enough."""
        return now_s - self._asked_s < VIEW_LEASE_S

    def find(self, salt: str, part: str, now_s: float) -> StoredPart | None:
        """Return where a part is, if that is certain now."""
        return self._held.get((salt, part)) if self.is_fresh(now_s) else None

    def clock_ms(self, now_s: float) -> float:
        """Return the stores' clock, or a little less."""
        return self._clock_ms + 1000 * (now_s - self._clock_at_s)
