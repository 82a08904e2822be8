"""Candidates for a request, the best first."""

import random
from collections.abc import Iterable
from typing import NamedTuple

from vanillabeam.rendezvous import weigh
from vanillabeam.routing.placements import BlockPlacements
from vanillabeam.routing.records import RouteRequest, TargetView
from vanillabeam.routing.score import RecentGrants, Score, score
from vanillabeam.routing.weights import CostWeights

__all__ = ["Choice", "Router"]

RANKED = 2
HOLDERS = 2
MASK = (1 << 64) - 1
MIX = 0x9E3779B97F4A7C15


class Choice(NamedTuple):
    """A target for a request and what to expect of it."""

    view: TargetView
    score: Score


class Router:
    """What one entry knows of targets, and its choice among them.

    :param data_centre: of this entry.
    :param rng: seeded source of the random candidates.
    """

    def __init__(self, data_centre: str, weights: CostWeights, rng: random.Random):
        self.data_centre = data_centre
        self.weights = weights
        self.rng = rng
        self.views: dict[str, TargetView] = {}
        self.placements = BlockPlacements()
        self._since: dict[str, RecentGrants] = {}
        self._serving: dict[tuple[str, str], list[str]] = {}
        self._weight: dict[str, int] = {}

    def update(self, view: TargetView) -> None:
        """Take a newer view of a target in; it ends older corrections."""
        before = self.views.get(view.target)
        self.views[view.target] = view
        self._since.pop(view.target, None)
        if before is not None and _keys(before) == _keys(view):
            return
        self._unlist(before)
        self._weight[view.target] = weigh("", view.target)
        for key in _keys(view):
            self._serving.setdefault(key, []).append(view.target)

    def remove(self, target: str) -> None:
        """Forget a target."""
        self._unlist(self.views.pop(target, None))
        self._since.pop(target, None)
        self._weight.pop(target, None)

    def record_grant(self, target: str, tokens: float) -> None:
        """Correct a target's view by a grant that it can't know of."""
        since = self._since.get(target, RecentGrants())
        self._since[target] = RecentGrants(since.runs + 1, since.tokens + tokens)

    def choose(
        self, request: RouteRequest, out: Iterable[str], now_s: float
    ) -> list[Choice]:
        """Return the candidates for ``request``, the best first.

        :param out: data centres that are out of service.
        """
        out = frozenset(out)
        eligible = [
            name for name in self._list(request) if self._fits(name, request, out)
        ]
        holders = self.placements.holders(request.blocks)
        ranked = self._ranked(request, eligible)
        names = self._candidates(eligible, ranked, holders)
        self._expect_home(request, ranked, holders)
        choices = [self._scored(n, request, holders.get(n, 0), now_s) for n in names]
        bound = self._load_bound(choices)
        return sorted(
            choices,
            key=lambda choice: (
                self._load(choice.view) > bound,
                choice.score.cost_s,
                self.rng.random(),
            ),
        )

    def _list(self, request: RouteRequest) -> list[str]:
        if request.service:
            return self._serving.get(("", request.service), [])
        return self._serving.get((request.model, request.version), [])

    def _fits(self, name: str, request: RouteRequest, out: frozenset[str]) -> bool:
        view = self.views[name]
        if not view.open or view.data_centre in out or name in request.excluded:
            return False
        if not request.adapter:
            return True
        loaded = view.adapters.get(request.adapter)
        return loaded is not None and request.adapter_version in ("", loaded)

    def _expect_home(
        self, request: RouteRequest, ranked: list[str], holders: dict[str, int]
    ) -> None:
        """Take a conversation's first choice to hold most of its blocks.

        Other entries send the conversation there too, so it is likely even
        where this entry has seen nothing of it; what was seen counts more.
        """
        earlier = len(request.blocks) - 1
        if not ranked or not request.conversation_root or earlier <= 0:
            return
        if 2 * max(holders.values(), default=0) > earlier:
            return
        home = int(self.weights.preferred_hit_share * earlier)
        holders[ranked[0]] = max(home, holders.get(ranked[0], 0))

    def _candidates(
        self, eligible: list[str], ranked: list[str], holders: dict[str, int]
    ) -> list[str]:
        if len(eligible) <= RANKED + HOLDERS + self.weights.sample:
            return eligible
        chosen = dict.fromkeys(ranked)
        fit = set(eligible)
        best = sorted(holders.items(), key=lambda item: -item[1])
        chosen.update((name, None) for name, _ in best[:HOLDERS] if name in fit)
        drawn = self.rng.sample(eligible, self.weights.sample)
        chosen.update(dict.fromkeys(drawn))
        return list(chosen)

    def _ranked(self, request: RouteRequest, eligible: list[str]) -> list[str]:
        if len(eligible) <= 1:
            return eligible
        root = weigh(request.workspace, request.conversation_root)
        key = {name: self._mixed(root, name) for name in eligible}
        first = max(eligible, key=key.__getitem__)
        rest = [name for name in eligible if name != first]
        return [first, max(rest, key=key.__getitem__)]

    def _mixed(self, root: int, name: str) -> int:
        mixed = ((root ^ self._weight[name]) * MIX) & MASK
        return mixed ^ (mixed >> 32)

    def _scored(
        self, name: str, request: RouteRequest, held: int, now_s: float
    ) -> Choice:
        view = self.views[name]
        far = view.data_centre != self.data_centre
        since = self._since.get(name, RecentGrants())
        return Choice(view, score(request, view, held, since, self.weights, far, now_s))

    def _load(self, view: TargetView) -> float:
        since = self._since.get(view.target, RecentGrants())
        return (view.in_use + view.queued + since.runs) / max(1, view.limit)

    def _load_bound(self, choices: list[Choice]) -> float:
        if not choices:
            return 0.0
        mean = sum(self._load(choice.view) for choice in choices) / len(choices)
        return self.weights.load_factor * mean + 1.0

    def _unlist(self, view: TargetView | None) -> None:
        if view is None:
            return
        for key in _keys(view):
            self._serving[key].remove(view.target)


def _keys(view: TargetView) -> list[tuple[str, str]]:
    if view.service:
        return [("", view.service)]
    return list(view.models.items())
