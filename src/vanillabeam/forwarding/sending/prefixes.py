"""Plan of the prompt parts that a target fetches from stores and saves there."""

import math
from collections.abc import Callable
from typing import NamedTuple

from vanillabeam.fleet import Store
from vanillabeam.fleet.parts import FETCH_LIMIT_S, PartView, StoredPart
from vanillabeam.forwarding.dialect import PromptPart
from vanillabeam.rendezvous import DIGEST_BYTES, weigh

__all__ = ["PrefixPlan", "Sources", "plan_prefix"]


class PrefixPlan(NamedTuple):
    """Parts to fetch and to save, with one entry for each part of the prompt.

    :param fetches: stored part to fetch, ``None`` where none is fetched.
    :param saves: address of the store to save a part in, empty where it is not
        saved.
    :param until_ms: time on the stores' clock until which a part may be fetched.
    """

    fetches: tuple[StoredPart | None, ...] = ()
    saves: tuple[str, ...] = ()
    until_ms: float = 0.0


class Sources(NamedTuple):
    """Places that may have parts of a prompt.

    :param view: parts that stores keep.
    :param stores: stores in service.
    :param is_cached: returns whether the target has probably cached a part.
    """

    view: PartView
    stores: tuple[Store, ...]
    is_cached: Callable[[str], bool]


def plan_prefix(
    parts: tuple[PromptPart, ...],
    salt: str,
    sources: Sources,
    now_s: float,
    remaining_s: float,
) -> PrefixPlan:
    """Return the parts of a prompt to fetch and to save.

    The last part belongs to this request alone, so it is neither fetched nor
    saved. A part after one that is available nowhere can't be used, so it is not
    fetched either.

    :param salt: cache salt of the prompt.
    :param now_s: monotonic time in seconds.
    :param remaining_s: seconds that remain for the request. It may wait at its
        target before it fetches; after the limit it prefills everything instead.
    """
    shared, view = parts[:-1], sources.view
    if not shared or not sources.stores or not view.is_fresh(now_s):
        return PrefixPlan()
    stores = tuple(s for s in sources.stores if s.address not in view.resting)
    stored_parts = [view.find(salt, part.part_id, now_s) for part in shared]
    saves = [
        "" if stored or not stores else _store_for(salt, part.part_id, stores)
        for stored, part in zip(stored_parts, shared, strict=True)
    ]
    fetches = _fetches(shared, stored_parts, sources)
    until_ms = view.clock_ms(now_s) + 1000 * min(remaining_s, FETCH_LIMIT_S)
    return PrefixPlan((*fetches, None), (*saves, ""), until_ms)


def _fetches(
    shared: tuple[PromptPart, ...],
    stored_parts: list[StoredPart | None],
    sources: Sources,
) -> list[StoredPart | None]:
    fetches: list[StoredPart | None] = []
    for part, stored in zip(shared, stored_parts, strict=True):
        if stored is not None:
            fetches.append(stored)
        elif sources.is_cached(part.part_id):
            fetches.append(None)
        else:
            break
    return [*fetches, *[None] * (len(shared) - len(fetches))]


def _store_for(salt: str, part: str, stores: tuple[Store, ...]) -> str:
    """Return the address of a store, by rendezvous hashing weighted by capacity."""
    return max(stores, key=lambda store: _weight(f"{salt}\0{part}", store)).address


def _weight(key: str, store: Store) -> float:
    share = (weigh(key, store.name) + 1) / (2 ** (8 * DIGEST_BYTES) + 1)
    return -max(1, store.kv_tokens) / math.log(share)
