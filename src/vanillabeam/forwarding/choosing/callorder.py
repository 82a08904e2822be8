"""Order in which the targets that may take a plain call are tried.

Entry VMs hear of each other's calls about 0.3 s late. If all of them sent their calls
to the target that was least loaded then, it would be overloaded until the next report.
Each therefore takes the targets in turn, in proportion to their spare slots and speed,
compares the next few, and skips one only if the call would take longer there.
"""

import math
import random
from collections.abc import Sequence
from statistics import fmean
from typing import NamedTuple

from vanillabeam.fleet import Target
from vanillabeam.forwarding.choosing.load import Load

__all__ = ["REMOTE_PENALTY_REQUESTS", "CallOrder"]

#: Cost of the way to another data centre: in open requests while no time of a call is
#: known, else in seconds, for there and back at 3.5 ms each.
REMOTE_PENALTY_REQUESTS = 1.0
REMOTE_PENALTY_S = 0.007
#: Penalty of a target all of whose requests fail while those of others succeed, in
#: open requests.
FAILURE_PENALTY_REQUESTS = 20
#: Fewest targets that are compared.
MIN_CANDIDATES = 2
#: Share of an open request by which the spare slots of a target shrink. With a whole
#: one, the shares of nearly full targets swing, as the reports are late.
OPEN_WEIGHT = 0.25
MIN_SPARE_SLOTS = 0.1
#: Share of a call by which a target counts as slower when data centres are compared,
#: at the last slot; it grows as the square of the slots in use. Reports are late, so a
#: wave of calls meets the shares of the time before it.
HEDGE_FACTOR = 1.0
#: Factor on the time of a call from which another target is better. Smaller differences
#: are mostly noise of late reports, and all entry VMs would follow it.
BETTER_FACTOR = 1.25
#: Time constants with which calls spill over to other data centres, and return, and
#: the weight of those below which they get none.
SPILL_S = 0.5
RETURN_S = 6.0
MIN_REMOTE_SHARE = 0.02
#: Time without an answer after which a target that seems slow gets a call, and the time
#: between two such calls, over all entry VMs.
PROBE_AGE_S = 1.5
PROBE_S = 1.0
#: Seconds of a call while they are unknown.
DEFAULT_CALL_S = 0.1


class _Place(NamedTuple):
    """A target as a place for one more call.

    :param cost: expected seconds of the call, or times that of a call without others
        while that is unknown.
    :param hedged: cost if more slots are taken than reported, or open requests while no
        time of a call is known.
    :param weight: speed at which its spare slots take calls.
    :param own: open requests of this VM for each slot.
    """

    target: Target
    is_remote: bool
    cost: float
    hedged: float
    weight: float
    own: float


class CallOrder:
    """Sorts targets for plain calls of one entry VM.

    :param data_centre: data centre of this VM.
    :param rng: seeded; decides with which target the VM begins.
    """

    def __init__(self, data_centre: str, rng: random.Random):
        self._data_centre = data_centre
        self._rng = rng
        #: Distance of each target from its turn, by service; the largest is next.
        self._turns: dict[str, dict[str, float]] = {}
        #: Smoothed weight of other data centres, by service, and when it was updated.
        self._shares: dict[str, tuple[float, float]] = {}
        self._sorted_s: dict[str, float] = {}

    def sort(
        self,
        load: Load,
        service: str,
        usable: Sequence[Target],
        entries: int,
        now_s: float,
    ) -> list[Target]:
        """Return targets for a plain call, the best first.

        :param entries: number of entry VMs, this one included.
        """
        if not usable:
            return []
        call_s = [load.call_s(each.name, service, 1, now_s) for each in usable]
        is_timed = all(call_s)
        penalty = REMOTE_PENALTY_S if is_timed else REMOTE_PENALTY_REQUESTS
        failures = load.observed.failure_excess(target.name for target in usable)
        unproven = load.unproven(target.name for target in usable)
        usual_share = _usual_share(load, usable, now_s) if unproven else 0.0
        places = [
            self._place(
                load,
                service,
                target,
                seconds,
                failures,
                is_timed,
                usual_share if target.name in unproven else 0.0,
                now_s,
            )
            for target, seconds in zip(usable, call_s, strict=True)
        ]

        def far_cost(place: _Place) -> float:
            return place.cost + (penalty if place.is_remote else 0.0)

        remote_share = 1.0
        if len({place.is_remote for place in places}) == 2:
            share = _remote_share(places, penalty)
            remote_share = self._smooth(service, share, entries, now_s)
        turns = self._take_turns(service, places, remote_share)
        pool = [place for place in places if remote_share or not place.is_remote]
        pool.sort(key=lambda place: -turns[place.target.name])
        count = max(MIN_CANDIDATES, math.ceil(len(pool) / max(1, entries)))
        best = self._probe(load, service, pool, entries, now_s) or _best(pool[:count])
        turns[best.target.name] -= 1.0
        others = sorted((place for place in places if place is not best), key=far_cost)
        return [place.target for place in [best, *others]]

    def _place(
        self,
        load: Load,
        service: str,
        target: Target,
        call_s: float,
        failures: dict[str, float],
        is_timed: bool,
        least_share: float,
        now_s: float,
    ) -> _Place:
        held_s = call_s or DEFAULT_CALL_S
        open_ = load.all_open_requests(target.name, now_s, held_s)
        well = load.takes_well(target.name, service, now_s) or target.slots
        slots = max(1, min(target.slots, well))
        open_ = max(open_, least_share * slots)
        failing = FAILURE_PENALTY_REQUESTS * failures.get(target.name, 0.0)
        is_remote = target.data_centre != self._data_centre
        own = load.open_requests(target.name) / slots
        spare = max(MIN_SPARE_SLOTS, slots - OPEN_WEIGHT * open_ - failing)
        rounds = max(1.0, (open_ + 1) / slots) + failing / slots
        if not is_timed:
            return _Place(target, is_remote, rounds, open_ + failing, spare, own)
        hedged = rounds + HEDGE_FACTOR * (open_ / slots) ** 2
        return _Place(
            target, is_remote, rounds * call_s, hedged * call_s, spare / call_s, own
        )

    def _probe(
        self,
        load: Load,
        service: str,
        places: list[_Place],
        entries: int,
        now_s: float,
    ) -> _Place | None:
        """Return a target that is believed to be slow and unused, if its turn has come.

        Without calls it would be believed to be slow for ever. Over all entry VMs, each
        such target gets one call in :data:`PROBE_S`.
        """
        passed_s = min(PROBE_S, now_s - self._sorted_s.get(service, now_s))
        self._sorted_s[service] = now_s
        chance = passed_s / (PROBE_S * max(1, entries))
        least = min(place.cost for place in places)
        for place in places:
            name = place.target.name
            if (
                place.cost > BETTER_FACTOR * least
                and not place.own
                and load.capacity.call_age_s(name, now_s) > PROBE_AGE_S
                and self._rng.random() < chance
            ):
                return place
        return None

    def _smooth(self, service: str, share: float, entries: int, now_s: float) -> float:
        """Return the smoothed weight of targets in other data centres.

        An entry VM without others knows all calls, so it need not be gradual.
        """
        before, at_s = self._shares.get(service, (share, now_s))
        time_s = SPILL_S if share > before else RETURN_S
        time_s *= 1.0 - 1.0 / max(1, entries)
        kept = math.exp((at_s - now_s) / time_s) if time_s else 0.0
        smoothed = share + (before - share) * kept
        if smoothed < MIN_REMOTE_SHARE:
            smoothed = 0.0
        self._shares[service] = (smoothed, now_s)
        return smoothed

    def _take_turns(
        self, service: str, places: list[_Place], remote_share: float
    ) -> dict[str, float]:
        """Move each target towards its turn, in proportion to its weight."""
        known = self._turns.get(service, {})
        weights = {
            place.target.name: place.weight * (remote_share if place.is_remote else 1)
            for place in places
        }
        total = sum(weights.values())
        turns = {}
        for name, weight in weights.items():
            turn = known[name] if name in known else self._rng.random()
            turns[name] = min(1.0, max(-1.0, turn + weight / total))
        self._turns[service] = turns
        return turns


def _best(places: list[_Place]) -> _Place:
    """Return the place with fewest own requests of those that are about as good."""
    limit = BETTER_FACTOR * min(place.cost for place in places)
    return min((each for each in places if each.cost <= limit), key=_own_requests)


def _usual_share(load: Load, usable: Sequence[Target], now_s: float) -> float:
    """Return the share of slots in use, over all targets.

    A target that has answered nobody yet counts as used that much, so that it gets no
    more than its share although it is idle.
    """
    open_ = sum(load.all_open_requests(target.name, now_s) for target in usable)
    return open_ / max(1, sum(target.slots for target in usable))


def _own_requests(place: _Place) -> float:
    return place.own


def _remote_share(places: list[_Place], penalty: float) -> float:
    """Return the weight of targets in other data centres, 0 to 1.

    It grows from 0 where the targets of this data centre cost as much more as the way
    to another one, to 1 at twice that, so that calls spill over and back gradually.
    """
    own = [place.hedged for place in places if not place.is_remote]
    remote = [place.hedged for place in places if place.is_remote]
    excess = fmean(own) - fmean(remote)
    return min(1.0, max(0.0, excess / penalty - 1.0))
