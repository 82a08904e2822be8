"""Eviction of stored parts: which ones, and when their memory may be freed.

A part is first retired, which removes it from the index. It is freed only after
every copy of the index that listed it has expired, and every request that may
still fetch it has finished.
"""

from collections.abc import Iterable
from typing import NamedTuple

from vanillabeam.fleet.parts import VIEW_LEASE_S, Key, PartIndex
from vanillabeam.fleet.records import Store

__all__ = ["PartReclaimer", "is_outdated"]

#: Shares of a store's capacity: above the high one, parts are retired until the
#: store is down to the low one.
HIGH_WATERMARK = 0.85
LOW_WATERMARK = 0.75
#: Parts used within this time are not retired: their replacements are no more
#: likely to be used, and a retired part occupies memory until no request can
#: fetch it any more.
MIN_IDLE_S = 20.0
#: Added to the lifetimes of index copies and requests, for the network round trip
#: and for answers of a leader that has just lost its majority.
MARGIN_S = 3.0


class Retired(NamedTuple):
    """A part that was removed from the index and is not freed yet.

    :param store: address of the store that holds the part.
    :param since_s: monotonic time of the removal.
    """

    store: str
    since_s: float


class PartReclaimer:
    """Retires parts of an index and selects those that may be freed.

    :param index: index of the fleet log's leader.

    >>> reclaimer = PartReclaimer(index)
    >>> reclaimer.retire(store, lambda salt: False, now_s=1.0)
    >>> reclaimer.reclaimable(store, longest_fetch_s=4.0, now_s=20.0)
    [('salt', 'part')]
    """

    def __init__(self, index: PartIndex):
        self._index = index
        self._retired: dict[Key, Retired] = {}

    def retire(self, store: Store, outdated, now_s: float) -> int:
        """Retire outdated parts and, if the store is full, the least recently used.

        :param outdated: predicate, whether no target uses a salt any more.
        :returns: number of parts retired.
        """
        outdated_keys = self._index.keys_of(store.address, outdated)
        for key in outdated_keys:
            self._retire(store, key, now_s)
        count = len(outdated_keys)
        used = self._index.tokens_at(store.address)
        if used <= HIGH_WATERMARK * store.kv_tokens:
            return count
        for key, size in self._index.parts_at(store.address):
            if used <= LOW_WATERMARK * store.kv_tokens:
                break
            if self._index.last_used_s(key) > now_s - MIN_IDLE_S:
                break
            self._retire(store, key, now_s)
            used -= size
            count += 1
        return count

    def _retire(self, store: Store, key: Key, now_s: float) -> None:
        self._index.retire(key)
        self._retired[key] = Retired(store.address, now_s)

    def reclaimable(
        self, store: Store, longest_fetch_s: float, now_s: float
    ) -> list[Key]:
        """Return retired parts of a store that no request can fetch any more.

        :param longest_fetch_s: seconds within which every fetch has finished.
        """
        limit_s = now_s - VIEW_LEASE_S - longest_fetch_s - MARGIN_S
        return [
            key
            for key, retired in self._retired.items()
            if retired.store == store.address and retired.since_s <= limit_s
        ]

    def mark_freed(self, keys: Iterable[Key]) -> None:
        """Forget retired parts that the store has freed or lost."""
        for key in keys:
            self._retired.pop(key, None)
            self._index.release(key)

    def forget_store(self, store: Store) -> None:
        """Forget all retired parts of a store that restarted or was lost."""
        self.mark_freed(
            [k for k, r in self._retired.items() if r.store == store.address]
        )


def is_outdated(salt: str, versions: dict[str, int]) -> bool:
    """Return whether a salt names weights that no target holds any more.

    :param salt: ``scope/model/version``; any other form is never outdated.
    :param versions: lowest weight version in use, by model.
    """
    _, model, version = salt.rsplit("/", 2) if salt.count("/") >= 2 else ("", "", "")
    if not version.isdigit() or model not in versions:
        return False
    return int(version) < versions[model]
