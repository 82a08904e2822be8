"""Which kept parts give way, and when it is safe to free them.

A part is first retired: the index names it no longer. It is freed only once
every copy of the index that named it has ended, and every request that may
still fetch it has.
"""

from collections.abc import Iterable
from typing import NamedTuple

from vanillabeam.fleet.parts import VIEW_LEASE_S, PartIndex
from vanillabeam.fleet.records import Store

__all__ = ["PartReclaimer", "is_outdated"]

#: Share of a store's room above which parts give way, and down to which.
HIGH_WATERMARK = 0.85
LOW_WATERMARK = 0.75
#: Parts that were used in this time stay. What would come in their place is
#: no more likely to be used, and a part that gives way keeps its room until
#: nobody can fetch it any more.
MIN_IDLE_S = 20.0
#: Beyond copies of the index and requests: the way there and back, and what a
#: leader that has lost its majority still tells.
MARGIN_S = 3.0

Key = tuple[str, str]


class Retired(NamedTuple):
    """A part that is named no longer.

    :param store: the store's address.
    """

    store: str
    since_s: float


class PartReclaimer:
    """Retires parts of an index and says when they may be freed.

    :param index: the leader's.

    >>> reclaimer = PartReclaimer(index)
    >>> reclaimer.retire(store, lambda salt: False, now_s=1.0)
    >>> reclaimer.reclaimable(store, longest_fetch_s=4.0, now_s=20.0)
    [('salt', 'part')]
    """

    def __init__(self, index: PartIndex):
        self._index = index
        self._retired: dict[Key, Retired] = {}

    def retire(self, store: Store, outdated, now_s: float) -> int:
        """Retire what is of no use any longer, and what is long unused.

        :param outdated: says whether no target reads a salt any more.
        :returns: how many parts were retired.
        """
        held = self._index.parts_at(store.address)
        chosen = [key for key, _ in held if outdated(key[0])]
        tokens = dict(held)
        used = sum(tokens.values()) - sum(tokens[key] for key in chosen)
        if used > HIGH_WATERMARK * store.kv_tokens:
            gone = set(chosen)
            for key, size in held:
                if used <= LOW_WATERMARK * store.kv_tokens:
                    break
                if self._index.last_used_s(key) > now_s - MIN_IDLE_S:
                    break
                if key not in gone:
                    chosen.append(key)
                    used -= size
        for key in chosen:
            self._index.retire(key)
            self._retired[key] = Retired(store.address, now_s)
        return len(chosen)

    def reclaimable(
        self, store: Store, longest_fetch_s: float, now_s: float
    ) -> list[Key]:
        """Return retired parts of a store that nobody can fetch any more.

        :param longest_fetch_s: time after which every fetch has ended.
        """
        limit_s = now_s - VIEW_LEASE_S - longest_fetch_s - MARGIN_S
        return [
            key
            for key, retired in self._retired.items()
            if retired.store == store.address and retired.since_s <= limit_s
        ]

    def mark_freed(self, keys: Iterable[Key]) -> None:
        """Forget parts that the store has freed, or lost."""
        for key in keys:
            self._retired.pop(key, None)
            self._index.release(key)

    def forget_store(self, store: Store) -> None:
        """Forget a store's retired parts: it has restarted, or is gone."""
        self.mark_freed(
            [k for k, r in self._retired.items() if r.store == store.address]
        )


def is_outdated(salt: str, versions: dict[str, int]) -> bool:
    """Return whether a salt is of weights that no target holds any more.

    :param versions: lowest weight version in use of each model.
    """
    _, model, version = salt.rsplit("/", 2) if salt.count("/") >= 2 else ("", "", "")
    if not version.isdigit() or model not in versions:
        return False
    return int(version) < versions[model]
