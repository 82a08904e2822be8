"""One order to a target to load weights: when to send it, again too, and when to stop.

An answer may get lost, and the order with it, or it may be carried out seconds later.
Each order names the number of orders that the target had accepted before, so that of
several copies only the first is accepted, and none after a newer order.
"""

from enum import StrEnum
from typing import NamedTuple

__all__ = ["OrderReply", "OrderRun", "Step", "WeightsReport"]

#: Seconds without an answer after which an order is sent again, if the target reports
#: that it has accepted none. Reports are some hundred milliseconds old.
RESEND_S = 0.6
#: Seconds until an order is sent again to a target that carries out another one, or
#: has accepted one since its report.
BUSY_PAUSE_S = 0.5
#: Seconds after which an order that was not accepted is given up for this turn.
UNANSWERED_S = 2.0
#: Seconds without any effect after which an accepted order is given up.
EFFECT_TIMEOUT_S = 6.0
#: Seconds after which an accepted order is given up though the target is busy: runs
#: may last as long as a route allows.
BUSY_TIMEOUT_S = 60.0


class OrderReply(StrEnum):
    """A target's answer to an order."""

    ACCEPTED = "accepted"
    HOLDS = "holds"
    BUSY = "busy"
    FENCED = "fenced"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class WeightsReport(NamedTuple):
    """A target's report on one model.

    :param version: version in use; ``None`` if the target doesn't have the model.
    :param is_busy: whether it carries out an order.
    :param sequence: number of orders that it has accepted; ``None`` if it counts none.
    :param running: number of its runs; ``None`` if it doesn't say.
    """

    version: int | None
    is_busy: bool
    sequence: int | None = None
    running: int | None = None


class Step(StrEnum):
    """Next step: send the order, look again later, or stop."""

    SEND = "send"
    WAIT = "wait"
    STOP = "stop"


class OrderRun:
    """State of one order.

    :param version: version that the target is to load.
    :ivar is_accepted: whether the target has accepted the order, by its answer or by
        the number of orders that it reports.
    :ivar made_s: time at which the target's turn began.
    :ivar begun_s: time at which it did, or at which the first attempt began.

    >>> run = OrderRun(version=2, now_s=1.0)
    >>> run.next_step(WeightsReport(1, False, 7), now_s=1.0)
    <Step.SEND: 'send'>
    >>> run.sequence
    7
    """

    def __init__(self, version: int, now_s: float):
        self.sequence: int | None = None
        self.is_done = False
        self.is_accepted = False
        self.version = version
        self.made_s = now_s
        self._reply: OrderReply | None = None
        self.begun_s = now_s
        self._changed_s = now_s

    def record_reply(self, reply: OrderReply, now_s: float) -> None:
        """Record the target's answer to the order."""
        self._reply = reply
        self._changed_s = now_s
        if reply in (OrderReply.ACCEPTED, OrderReply.HOLDS):
            self._accept(now_s)

    def hold(self, now_s: float) -> None:
        """Record that the order is held back, so that the target's runs may end."""
        self.begun_s = now_s

    def next_step(self, report: WeightsReport | None, now_s: float) -> Step:
        """Return the next step.

        :param report: the target's newest report, ``None`` if it gave none.
        """
        if report is not None and (report.version or 0) >= self.version:
            self.is_done = True
            return Step.STOP
        self._read(report, now_s)
        if self._is_over(now_s):
            return Step.STOP
        waited_s = now_s - self._changed_s
        if report is None or report.is_busy or not self._may_send(report, waited_s):
            return Step.WAIT
        self.sequence = report.sequence
        return Step.SEND

    def _accept(self, now_s: float) -> None:
        if not self.is_accepted:
            self.is_accepted, self.begun_s = True, now_s

    def _read(self, report: WeightsReport | None, now_s: float) -> None:
        """Learn from a report whether the order was accepted, and still counts."""
        if report is None:
            return
        if self._reply is OrderReply.UNKNOWN and self._counts_more(report):
            self._accept(now_s)
        if self.is_accepted and report.is_busy:
            self._changed_s = now_s

    def _counts_more(self, report: WeightsReport) -> bool:
        if report.sequence is None or self.sequence is None:
            return False
        return report.sequence > self.sequence

    def _is_over(self, now_s: float) -> bool:
        if self._reply in (OrderReply.FENCED, OrderReply.REFUSED):
            return True
        lasted_s = now_s - self.begun_s
        if not self.is_accepted:
            return lasted_s > UNANSWERED_S
        waited_s = now_s - self._changed_s
        return waited_s > EFFECT_TIMEOUT_S or lasted_s > BUSY_TIMEOUT_S

    def _may_send(self, report: WeightsReport, waited_s: float) -> bool:
        if self._reply is None:
            return True
        if self._reply is OrderReply.UNKNOWN:
            is_unchanged = report.sequence == self.sequence
            return is_unchanged and waited_s >= RESEND_S
        return self._reply is OrderReply.BUSY and waited_s >= BUSY_PAUSE_S
