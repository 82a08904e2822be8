"""Turns and slots of targets that are to load new weights.

Each outdated target waits for its turn, the longest wait first; one that failed waits
anew, behind the others. A slot is held by a target that was just sent an order or has
accepted one, not by one that refused, is silent or is gone.
"""

import math
from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

from vanillabeam.fleet.heldweights import Held, HeldReason
from vanillabeam.fleet.orderrun import OrderReply
from vanillabeam.fleet.records import Target

__all__ = ["MAX_CONCURRENT_SHARE", "Outcome", "RolloutPlan"]

#: Share of a model's targets that may load new weights at the same time, so that
#: the others keep serving and the weight store is not overloaded.
MAX_CONCURRENT_SHARE = 1 / 3
#: Share that may be without new work, those included that hold no slot any more as
#: their runs last.
MAX_BUSY_SHARE = 2 / 3
#: Seconds after which a target that has accepted no order holds no slot.
SILENT_S = 1.5
#: Seconds after which a target that accepted holds no slot if it reports that it is
#: not busy. Reports are some hundred milliseconds old.
IDLE_S = 1.0
#: Seconds after which a target that accepted holds no slot in any case.
HOLD_S = 3.0
#: Seconds until a target that failed gets its next order; each failure doubles them.
FIRST_BACKOFF_S = 1.0
MAX_BACKOFF_S = 4.0

#: Seconds that a load is expected to take until one was seen.
LOAD_S = 1.5

Incarnation = tuple[str, int]


class Outcome(StrEnum):
    """End of an attempt: the target has the version, failed, or was not to go on."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"


class _Turn(NamedTuple):
    """An outdated model of a target.

    :param due_s: time from which it may get an order; the earliest goes first.
    :param refused: highest fencing number that it refused; -1 for none.
    """

    target: Target
    model: str
    due_s: float
    failures: int = 0
    reply: str = ""
    refused: int = -1


class _Attempt(NamedTuple):
    """An order that is under way.

    :param begun_s: time from which it may be sent; ``None`` while it is prepared.
    :param accepted_s: time at which the target accepted it.
    :param is_busy: whether the target carries out an order, by its newest report.
    :param is_idle: whether it carries out none, though it accepted one.
    """

    target: Target
    model: str
    begun_s: float | None = None
    accepted_s: float | None = None
    is_busy: bool = False
    is_idle: bool = False

    def holds_slot(self, now_s: float) -> bool:
        if self.begun_s is None:
            return True
        if self.accepted_s is None:
            return now_s - self.begun_s < SILENT_S
        return now_s - self.accepted_s < HOLD_S and not self.is_idle


class RolloutPlan:
    """State of a rollout: who waits since when, and whose order is under way.

    :param prepare_s: seconds from an attempt's start until it may be sent, for entry
        VMs to hear that the target is paused.

    >>> plan = RolloutPlan()
    >>> plan.update([target], {"m": 2}, now_s=1.0)
    []
    >>> plan.select(fence=7, now_s=1.0)
    [(target, 'm')]
    """

    def __init__(self, prepare_s: float = 0.0):
        self._prepare_s = prepare_s
        self._targets: dict[Incarnation, Target] = {}
        self._weights: dict[str, int] = {}
        self._turns: dict[tuple[Incarnation, str], _Turn] = {}
        self._attempts: dict[Incarnation, _Attempt] = {}
        #: Seconds from an accepted order to the report of its end, the last time.
        self._load_s: float | None = None

    def update(
        self, targets: Iterable[Target], weights: dict[str, int], now_s: float
    ) -> list[Incarnation]:
        """Apply the known targets and the newest versions.

        :returns: incarnations with an order under way that are not known any more;
            they hold no slot from now on.
        """
        self._targets = {target.incarnation: target for target in targets}
        self._weights = weights
        turns = {}
        for target in self._targets.values():
            for model in self._outdated(target):
                key = (target.incarnation, model)
                turn = self._turns.get(key) or _Turn(target, model, now_s)
                turns[key] = turn._replace(target=target)
        self._turns = turns
        gone = [each for each in self._attempts if each not in self._targets]
        for incarnation in gone:
            del self._attempts[incarnation]
        return gone

    def select(self, fence: int, now_s: float) -> list[tuple[Target, str]]:
        """Return the targets to order now, each with its outdated model.

        :param fence: fencing number in force.
        """
        selected: list[tuple[Target, str]] = []
        for model in sorted(self._weights):
            waiting = [
                turn
                for turn in self._turns.values()
                if turn.model == model and self._is_due(turn, fence, now_s)
            ]
            waiting.sort(key=_order)
            room = max(0, self._room(model, now_s))
            selected += [(turn.target, model) for turn in waiting[:room]]
        return selected

    def start(self, target: Target, model: str) -> None:
        """Record that an order is prepared."""
        self._attempts[target.incarnation] = _Attempt(target, model)

    def begin(self, incarnation: Incarnation, now_s: float) -> bool:
        """Return whether a prepared order has a slot, and give it one."""
        attempt = self._attempts.get(incarnation)
        if attempt is None:
            return False
        begun = [each for each in self._of(attempt.model) if each.begun_s is not None]
        used = sum(each.holds_slot(now_s) for each in begun)
        if used >= self._limit(attempt.model):
            return False
        self._attempts[incarnation] = _Attempt(attempt.target, attempt.model, now_s)
        return True

    def begin_next(self, incarnation: Incarnation, now_s: float) -> None:
        """Record that an order for a newer version follows the one under way."""
        attempt = self._attempts.get(incarnation)
        if attempt is not None:
            self._attempts[incarnation] = _Attempt(attempt.target, attempt.model, now_s)

    def record_reply(
        self, incarnation: Incarnation, reply: OrderReply, fence: int
    ) -> None:
        """Record a target's answer to an order with a fencing number."""
        attempt = self._attempts.get(incarnation)
        if attempt is None:
            return
        key = (incarnation, attempt.model)
        turn = self._turns.get(key)
        if turn is not None:
            refused = fence if reply is OrderReply.FENCED else turn.refused
            self._turns[key] = turn._replace(reply=str(reply), refused=refused)

    def hold(self, incarnation: Incarnation, now_s: float) -> None:
        """Record that an order is held back while the target's runs end."""
        attempt = self._attempts.get(incarnation)
        if attempt is not None:
            self._attempts[incarnation] = attempt._replace(begun_s=now_s)

    def record_state(
        self, incarnation: Incarnation, is_accepted: bool, is_busy: bool, now_s: float
    ) -> None:
        """Record whether a target has accepted its order, and is busy with one."""
        attempt = self._attempts.get(incarnation)
        if attempt is None:
            return
        accepted_s = attempt.accepted_s
        if is_accepted and accepted_s is None:
            accepted_s = now_s
        is_late = accepted_s is not None and now_s - accepted_s >= IDLE_S
        self._attempts[incarnation] = attempt._replace(
            accepted_s=accepted_s, is_busy=is_busy, is_idle=is_late and not is_busy
        )

    def finish(
        self,
        incarnation: Incarnation,
        outcome: Outcome,
        now_s: float,
        waited_s: float = 0.0,
    ) -> None:
        """Record the end of an attempt.

        :param waited_s: time for which the target waited for its runs.
        """
        attempt = self._attempts.pop(incarnation, None)
        if attempt is None:
            return
        if outcome is Outcome.DONE and attempt.accepted_s is not None:
            self._load_s = now_s - attempt.accepted_s - waited_s
        key = (incarnation, attempt.model)
        turn = self._turns.get(key)
        if turn is None or outcome is Outcome.STOPPED:
            return
        if outcome is Outcome.DONE:
            del self._turns[key]
            return
        self._turns[key] = turn._replace(
            due_s=now_s + _backoff_s(turn), failures=turn.failures + 1
        )

    def expected_end_s(self, incarnation: Incarnation) -> float | None:
        """Return when a target is likely to report that it has loaded, if known."""
        attempt = self._attempts.get(incarnation)
        if attempt is None or attempt.accepted_s is None or self._load_s is None:
            return None
        return attempt.accepted_s + self._load_s

    def spare_s(self, model: str, left_s: float) -> tuple[float, float]:
        """Return how long targets may wait for their runs: all rounds, and each one.

        :param left_s: seconds until all targets should have loaded.
        """
        waiting = sum(
            turn.model == model and turn.target.incarnation not in self._attempts
            for turn in self._turns.values()
        )
        rounds = 1 + math.ceil(waiting / self._limit(model))
        load_s = LOAD_S if self._load_s is None else self._load_s
        spare_s = left_s - rounds * load_s
        return spare_s, spare_s / rounds

    def is_half(self, model: str) -> bool:
        """Return whether half of a model's targets or more load in one round.

        While these wait for runs that last, the others can't stand in for them.
        """
        count = self._count(model)
        return count > 1 and 2 * self._limit(model) >= count

    def round_size(self, model: str) -> int:
        """Return how many targets may load a model at the same time."""
        return self._limit(model)

    def paused_names(self, now_s: float) -> set[str]:
        """Return the names of the targets that should get no new work.

        One that doesn't take the order goes on serving on its older weights.
        """
        return {
            each.target.name
            for each in self._attempts.values()
            if each.holds_slot(now_s) or each.is_busy
        }

    def is_refused(self, fence: int) -> bool:
        """Return whether a target that waits has refused a fencing number."""
        return any(turn.refused >= fence for turn in self._turns.values())

    def held(self, fence: int, now_s: float) -> list[Held]:
        """Return the outdated targets that get no order, with the reason."""
        return [
            Held(
                turn.target.name,
                turn.model,
                turn.target.versions[turn.model],
                self._weights[turn.model],
                _reason(turn, fence, now_s),
                turn.reply,
            )
            for turn in self._turns.values()
            if turn.target.incarnation not in self._attempts
        ]

    def _outdated(self, target: Target) -> list[str]:
        weights = self._weights
        return [
            model
            for model, version in target.versions.items()
            if version < weights.get(model, 0)
        ]

    def _is_due(self, turn: _Turn, fence: int, now_s: float) -> bool:
        return (
            turn.due_s <= now_s
            and not turn.target.draining
            and turn.refused < fence
            and turn.target.incarnation not in self._attempts
        )

    def _of(self, model: str) -> list[_Attempt]:
        """Return the attempts at targets that have a model, whatever they load."""
        attempts = self._attempts.values()
        return [each for each in attempts if model in each.target.versions]

    def _count(self, model: str) -> int:
        return sum(model in target.versions for target in self._targets.values())

    def _limit(self, model: str) -> int:
        return max(1, math.ceil(self._count(model) * MAX_CONCURRENT_SHARE))

    def _room(self, model: str, now_s: float) -> int:
        """Return how many more targets may be prepared."""
        attempts = self._of(model)
        limit = self._limit(model)
        used = sum(
            each.holds_slot(now_s) and not self._ends_soon(each, now_s)
            for each in attempts
        )
        busy = sum(each.holds_slot(now_s) or each.is_busy for each in attempts)
        most = max(limit, math.floor(self._count(model) * MAX_BUSY_SHARE))
        return min(limit - used, most - busy)

    def _ends_soon(self, attempt: _Attempt, now_s: float) -> bool:
        """Return whether a slot is likely to be free once another one is prepared."""
        end_s = self.expected_end_s(attempt.target.incarnation)
        return end_s is not None and end_s - now_s <= self._prepare_s


def _order(turn: _Turn) -> tuple[float, int, str]:
    return (turn.due_s, turn.target.versions[turn.model], turn.target.name)


def _backoff_s(turn: _Turn) -> float:
    if turn.reply == OrderReply.FENCED and not turn.failures:
        return 0.0
    return min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2**turn.failures)


def _reason(turn: _Turn, fence: int, now_s: float) -> HeldReason:
    if turn.target.draining:
        return HeldReason.DRAINING
    if turn.refused >= fence:
        return HeldReason.FENCED
    return HeldReason.BACKOFF if turn.due_s > now_s else HeldReason.NO_SLOT
