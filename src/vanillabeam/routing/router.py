"""Selection of candidate targets for a request, best first."""

import random
from collections.abc import Iterable
from typing import NamedTuple

from vanillabeam.rendezvous import weigh
from vanillabeam.routing.placements import BlockPlacements
from vanillabeam.routing.records import RouteRequest, TargetView
from vanillabeam.routing.score import Score, score
from vanillabeam.routing.weights import CostWeights

__all__ = ["Candidate", "Router"]

MAX_RANKED = 2
MAX_HOLDERS = 2
MASK_64 = (1 << 64) - 1
#: 2**64 divided by the golden ratio, the multiplier of Fibonacci hashing.
HASH_MULTIPLIER = 0x9E3779B97F4A7C15


class Candidate(NamedTuple):
    """A candidate target for a request, with its score."""

    view: TargetView
    score: Score


class Router:
    """Latest views of all targets and the choice among them, on one entry VM.

    :param data_centre: data centre of this entry VM.
    :param rng: seeded source of the random candidates.
    :ivar views: latest view of each target, by name.
    :ivar placements: targets that should hold the blocks of earlier requests.
    """

    def __init__(self, data_centre: str, weights: CostWeights, rng: random.Random):
        self.data_centre = data_centre
        self.weights = weights
        self.rng = rng
        self.views: dict[str, TargetView] = {}
        self.placements = BlockPlacements()
        self._targets_by_key: dict[tuple[str, str], list[str]] = {}
        self._hashes: dict[str, int] = {}

    def update(self, view: TargetView) -> None:
        """Replace a target's view."""
        previous = self.views.get(view.target)
        self.views[view.target] = view
        if previous is not None and _keys(previous) == _keys(view):
            return
        self._remove_from_index(previous)
        self._hashes[view.target] = weigh("", view.target)
        for key in _keys(view):
            self._targets_by_key.setdefault(key, []).append(view.target)

    def remove(self, target: str) -> None:
        """Forget a target."""
        self._remove_from_index(self.views.pop(target, None))
        self._hashes.pop(target, None)

    def choose(
        self, request: RouteRequest, evacuated: Iterable[str], now_s: float
    ) -> list[Candidate]:
        """Return the candidates for ``request``, the best first.

        :param evacuated: data centres that are out of service.
        """
        evacuated = frozenset(evacuated)
        eligible = [
            name
            for name in self._serving_targets(request)
            if self._is_eligible(name, request, evacuated)
        ]
        holders = self.placements.holders(request.blocks)
        ranked = self._ranked(request, eligible)
        names = self._candidate_names(eligible, ranked, holders)
        self._assume_preferred(request, ranked, holders)
        candidates = [
            self._make_candidate(n, request, holders.get(n, 0), now_s) for n in names
        ]
        bound = self._load_bound(candidates)
        return sorted(
            candidates,
            key=lambda candidate: (
                self._load(candidate.view) > bound,
                candidate.score.cost_s,
                self.rng.random(),
            ),
        )

    def knows_targets(self, request: RouteRequest) -> bool:
        """Return whether any target, open or not, serves what a request asks for."""
        return bool(self._serving_targets(request))

    def _serving_targets(self, request: RouteRequest) -> list[str]:
        if request.service:
            return self._targets_by_key.get(("", request.service), [])
        return self._targets_by_key.get((request.model, request.version), [])

    def _is_eligible(
        self, name: str, request: RouteRequest, evacuated: frozenset[str]
    ) -> bool:
        view = self.views[name]
        if not view.open or view.data_centre in evacuated or name in request.excluded:
            return False
        if not request.adapter:
            return True
        loaded = view.adapters.get(request.adapter)
        return loaded is not None and request.adapter_version in ("", loaded)

    def _assume_preferred(
        self, request: RouteRequest, ranked: list[str], holders: dict[str, int]
    ) -> None:
        """Assume that a conversation's preferred target holds most of its blocks.

        Other entry VMs send the conversation there too, so this is likely even
        if this VM has no record of it. Recorded holders of more than half of the
        blocks take precedence.
        """
        earlier = len(request.blocks) - 1
        if not ranked or not request.conversation_root or earlier <= 0:
            return
        if 2 * max(holders.values(), default=0) > earlier:
            return
        assumed = int(self.weights.preferred_hit_share * earlier)
        holders[ranked[0]] = max(assumed, holders.get(ranked[0], 0))

    def _candidate_names(
        self, eligible: list[str], ranked: list[str], holders: dict[str, int]
    ) -> list[str]:
        if len(eligible) <= MAX_RANKED + MAX_HOLDERS + self.weights.sample:
            return eligible
        chosen = dict.fromkeys(ranked)
        allowed = set(eligible)
        best = sorted(holders.items(), key=lambda item: -item[1])
        chosen.update((name, None) for name, _ in best[:MAX_HOLDERS] if name in allowed)
        drawn = self.rng.sample(eligible, self.weights.sample)
        chosen.update(dict.fromkeys(drawn))
        return list(chosen)

    def _ranked(self, request: RouteRequest, eligible: list[str]) -> list[str]:
        if len(eligible) <= 1:
            return eligible
        root = weigh(request.workspace, request.conversation_root)
        key = {name: self._rendezvous_hash(root, name) for name in eligible}
        first = max(eligible, key=key.__getitem__)
        rest = [name for name in eligible if name != first]
        return [first, max(rest, key=key.__getitem__)]

    def _rendezvous_hash(self, root: int, name: str) -> int:
        mixed = ((root ^ self._hashes[name]) * HASH_MULTIPLIER) & MASK_64
        return mixed ^ (mixed >> 32)

    def _make_candidate(
        self, name: str, request: RouteRequest, held: int, now_s: float
    ) -> Candidate:
        view = self.views[name]
        is_remote = view.data_centre != self.data_centre
        return Candidate(
            view, score(request, view, held, self.weights, is_remote, now_s)
        )

    def _load(self, view: TargetView) -> float:
        return (view.in_use + view.queued) / max(1, view.limit)

    def _load_bound(self, candidates: list[Candidate]) -> float:
        if not candidates:
            return 0.0
        mean = sum(self._load(c.view) for c in candidates) / len(candidates)
        return self.weights.load_factor * mean + 1.0

    def _remove_from_index(self, view: TargetView | None) -> None:
        if view is None:
            return
        for key in _keys(view):
            self._targets_by_key[key].remove(view.target)


def _keys(view: TargetView) -> list[tuple[str, str]]:
    if view.service:
        return [("", view.service)]
    return list(view.models.items())
