"""Order in which the targets that may take a request are tried."""

import random
from collections.abc import Iterator
from statistics import fmean

from vanillabeam.fleet import Target
from vanillabeam.forwarding.choosing.callorder import CallOrder
from vanillabeam.forwarding.choosing.candidates import sample_candidates
from vanillabeam.forwarding.choosing.costs import PromptCosts
from vanillabeam.forwarding.choosing.load import Load
from vanillabeam.rendezvous import rank

__all__ = ["TargetOrder"]

#: Penalty of targets in other data centres, in tokens of work.
REMOTE_PENALTY_TOKENS = 400
#: Rank of which no request is less urgent.
LEAST_URGENT = 1_000_000
#: Work that each open request stands for beside its prefill: others take longer beside
#: it, and it holds one of the target's slots.
OPEN_TOKENS = 1_000
#: Penalty of a target all of whose requests fail while those of others succeed, in
#: objectives of waiting.
FAILURE_PENALTY_OBJECTIVES = 4.0


class TargetOrder:
    """Sorts targets by the work that is open there, for one entry VM.

    :param data_centre: data centre of this VM, whose targets come first.
    :param rng: seeded; breaks ties and picks the targets that are compared.
    """

    def __init__(self, data_centre: str, rng: random.Random):
        self._data_centre = data_centre
        self._rng = rng
        self._calls = CallOrder(data_centre, rng)

    def _is_remote(self, target: Target) -> bool:
        return target.data_centre != self._data_centre

    def sort(
        self,
        load: Load,
        service: str,
        usable: list[Target],
        costs: PromptCosts | None,
        entries: int,
        now_s: float,
    ) -> Iterator[tuple[Target, int]]:
        """Yield the targets with the work of the request there, the best first.

        The few that are compared come before all others, unless the prompt would be
        late at each of them.

        :param load: open requests at the targets.
        :param costs: costs of a prompt; ``None`` for a plain call.
        :param entries: number of entry VMs, this one included.
        """
        if costs is None:
            calls = self._calls.sort(load, service, usable, entries, now_s)
            yield from ((target, 0) for target in calls)
            return
        by_name = {target.name: target for target in usable}
        near = {target.name for target in usable if load.is_near(target)}
        preferred = rank(costs.affinity_key, by_name)
        if not preferred:
            return
        # The first one is where prompts of this key meet: one that this VM knows well.
        preferred.sort(key=lambda name: name not in near)
        failures = load.observed.failure_excess(by_name)
        speed = load.tokens_s(service, now_s)
        unproven = load.unproven(by_name)
        usual = _usual_queue(load, usable, costs.rank) if unproven else 0.0

        def work(name: str) -> int:
            return costs.work_at(by_name[name], is_preferred=name == preferred[0])

        def expected(name: str) -> float:
            if name in near:
                tokens = _known_tokens(load, name, now_s)
            else:
                tokens = load.queued_tokens(name, costs.rank)
                tokens += load.unreported_load(name, entries, now_s).tokens
            if name in unproven:
                tokens = max(tokens, usual)
            tokens += work(name)
            penalty = REMOTE_PENALTY_TOKENS if self._is_remote(by_name[name]) else 0
            if not speed:
                return tokens + penalty
            lost_s = FAILURE_PENALTY_OBJECTIVES * costs.objective_s
            lost_s = penalty / speed + lost_s * failures.get(name, 0.0)
            wait_s = load.wait_s(name, service, tokens, now_s)
            return wait_s * _crowding(load, service, by_name[name], now_s) + lost_s

        candidates = self.candidates(preferred, by_name, costs) | near
        compared = sorted((n for n in preferred if n in candidates), key=expected)
        if speed and 0 < costs.objective_s < expected(compared[0]):
            compared = sorted(preferred, key=expected)
        yield from ((by_name[name], work(name)) for name in compared)
        others = [name for name in preferred if name not in compared]
        others.sort(key=expected)
        yield from ((by_name[name], work(name)) for name in others)

    def candidates(
        self, preferred: list[str], by_name: dict[str, Target], costs: PromptCosts
    ) -> set[str]:
        """Return the names of the targets that are compared for a prompt."""
        return sample_candidates(
            preferred, by_name, costs.holders, self._data_centre, self._rng
        )


def _known_tokens(load: Load, target: str, now_s: float) -> float:
    """Return the work before and beside a new prompt at a target that is known well.

    A prompt waits for less urgent ones too once they run, and each running stream makes
    all tokens slower.
    """
    open_requests = load.all_open_requests(target, now_s)
    return load.queued_tokens(target, LEAST_URGENT) + open_requests * OPEN_TOKENS


def _usual_queue(load: Load, usable: list[Target], rank: int) -> float:
    """Return the mean of the tokens queued at targets.

    A target that has answered nobody yet counts as having as many, so that it gets no
    more than its share although nothing is queued there.
    """
    return fmean(load.queued_tokens(target.name, rank) for target in usable)


def _crowding(load: Load, service: str, target: Target, now_s: float) -> float:
    """Return by how much more requests are open at a target than it takes well."""
    well = load.takes_well(target.name, service, now_s)
    if well is None:
        return 1.0
    return max(1.0, (load.all_open_requests(target.name, now_s) + 1) / well)
