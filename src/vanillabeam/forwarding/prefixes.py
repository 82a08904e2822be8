"""Which parts of a prompt are fetched, and which are saved where."""

import math
from collections.abc import Callable
from typing import NamedTuple

from vanillabeam.fleet import Store
from vanillabeam.fleet.parts import FETCH_LIMIT_S, PartView, StoredPart
from vanillabeam.forwarding.dialect import PromptPart
from vanillabeam.rendezvous import DIGEST_BYTES, weigh

__all__ = ["PrefixPlan", "Sources", "plan_prefix"]


class PrefixPlan(NamedTuple):
    """An entry for each part of the prompt.

    :param fetches: where a part is kept, ``None`` where it is not fetched.
    :param saves: store to save a part in, empty where it is not saved.
    """

    fetches: tuple[StoredPart | None, ...] = ()
    saves: tuple[str, ...] = ()
    until_ms: float = 0.0


class Sources(NamedTuple):
    """What is known of where parts are.

    :param view: parts that stores keep.
    :param stores: those in service.
    :param is_cached: says whether the target has a part itself, most likely.
    """

    view: PartView
    stores: tuple[Store, ...]
    is_cached: Callable[[str], bool]


def plan_prefix(
    parts: tuple[PromptPart, ...],
    salt: str,
    sources: Sources,
    now_s: float,
    left_s: float,
) -> PrefixPlan:
    """Return what to fetch and what to save of a prompt.

    The last part is the request's own and of use to nobody else. A part
    behind one that is nowhere can't be used, so it is not fetched.

    :param now_s: monotonic time in seconds.
    :param left_s: time that the request has. It may wait at its target before
        it fetches anything; after too long it reads all instead.
    """
    shared, view = parts[:-1], sources.view
    if not shared or not sources.stores or not view.is_fresh(now_s):
        return PrefixPlan()
    held = [view.find(salt, part.part_id, now_s) for part in shared]
    saves = [
        "" if found else _store_for(salt, part.part_id, sources.stores)
        for found, part in zip(held, shared, strict=True)
    ]
    fetches = _fetches(shared, held, sources)
    until_ms = view.clock_ms(now_s) + 1000 * min(left_s, FETCH_LIMIT_S)
    return PrefixPlan((*fetches, None), (*saves, ""), until_ms)


def _fetches(
    shared: tuple[PromptPart, ...], held: list[StoredPart | None], sources: Sources
) -> list[StoredPart | None]:
    fetches: list[StoredPart | None] = []
    for part, found in zip(shared, held, strict=True):
        if found is not None:
            fetches.append(found)
        elif sources.is_cached(part.part_id):
            fetches.append(None)
        else:
            break
    return [*fetches, *[None] * (len(shared) - len(fetches))]


def _store_for(salt: str, part: str, stores: tuple[Store, ...]) -> str:
    """Return a store by rendezvous, weighted by its room."""
    return max(stores, key=lambda store: _weight(f"{salt}\0{part}", store)).address


def _weight(key: str, store: Store) -> float:
    share = (weigh(key, store.name) + 1) / (2 ** (8 * DIGEST_BYTES) + 1)
    return -max(1, store.kv_tokens) / math.log(share)
