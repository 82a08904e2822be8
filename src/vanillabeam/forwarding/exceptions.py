"""Failures of forwarded requests."""

from http import HTTPStatus
from typing import ClassVar

from vanillabeam.exceptions import Run, VanillabeamError

__all__ = [
    "MIN_RETRY_AFTER_S",
    "AnswerBroken",
    "AnswerLate",
    "AnswerTooLong",
    "ForwardingError",
    "MismatchedAnswer",
    "NoTarget",
    "NotListening",
    "NotSent",
    "PartQuarantined",
    "RefusalUnproven",
    "RouteUnknown",
    "StreamNotResumed",
    "StateUnknown",
    "TargetWithdrawn",
    "TargetsLimited",
    "TargetsPaused",
    "TooLate",
    "VmOverloaded",
]

#: Shortest Retry-After of a refused caller.
MIN_RETRY_AFTER_S = 0.2
#: The same where a part of the prompt is quarantined.
MIN_TRIAL_WAIT_S = 1.0
MAX_TRIAL_WAIT_S = 600.0


class ForwardingError(VanillabeamError):
    """Base of the failures of forwarded requests."""

    type = "forwarding-failed"
    status = HTTPStatus.BAD_GATEWAY


class StateUnknown(ForwardingError):
    """This VM does not know yet what is in force."""

    type = "state-unknown"
    status = HTTPStatus.SERVICE_UNAVAILABLE
    run = Run.NOT_RUN
    advice = "Send the request again."
    retry_after_s: ClassVar[float | None] = 0.5


class RouteUnknown(ForwardingError):
    """No route has this host and path."""

    type = "route-unknown"
    status = HTTPStatus.NOT_FOUND
    run = Run.NOT_RUN
    advice = "Check the host and the path."


class NoTarget(ForwardingError):
    """No target can take the request now.

    :cvar is_scheduled: whether ``retry_after_s`` is this caller's own, so that callers
        are spread without a random part.
    """

    is_scheduled: ClassVar[bool] = False
    type = "no-target"
    status = HTTPStatus.SERVICE_UNAVAILABLE
    run = Run.NOT_RUN
    advice = "Send the request again after the time in Retry-After."
    retry_after_s: ClassVar[float | None] = 0.3


class NotSent(NoTarget):
    """No connection to the target was to be had."""

    type = "not-sent"


class NotListening(NotSent):
    """The target's address refused the connection: no process listens there."""

    type = "not-listening"


class TargetWithdrawn(NotSent):
    """The target asked for no more requests after it was chosen."""

    type = "target-withdrawn"


class TargetsPaused(NoTarget):
    """Every target has asked for a pause that ends too late for the request.

    :param wait_s: seconds until the first pause ends.
    """

    type = "targets-paused"

    def __init__(self, detail: str = "", wait_s: float = MIN_RETRY_AFTER_S):
        super().__init__(detail)
        self.retry_after_s = max(MIN_RETRY_AFTER_S, wait_s)


class TargetsLimited(TargetsPaused):
    """Every target takes so few requests a second that the request would be late.

    :param wait_s: seconds until one could take it, by the rate that is left.
    """

    type = "targets-limited"


class PartQuarantined(NoTarget):
    """Targets end under a part of the prompt, so no target gets it.

    :param wait_s: seconds until the part may be released.
    """

    type = "part-quarantined"
    advice = "Change the prompt, or ask the operators to release the part."

    def __init__(self, detail: str = "", wait_s: float = MIN_TRIAL_WAIT_S):
        super().__init__(detail)
        self.retry_after_s = min(max(MIN_TRIAL_WAIT_S, wait_s), MAX_TRIAL_WAIT_S)


class TooLate(NoTarget):
    """The request would not be served within its time limit.

    :param wait_s: seconds after which its caller should return.
    """

    type = "too-late"
    is_scheduled = True

    def __init__(self, detail: str = "", wait_s: float = MIN_RETRY_AFTER_S):
        super().__init__(detail)
        self.retry_after_s = max(MIN_RETRY_AFTER_S, wait_s)


class VmOverloaded(NoTarget):
    """This VM is short of processor time and would send the request too late.

    :param wait_s: seconds after which this VM can take the request.
    """

    type = "vm-overloaded"

    def __init__(self, detail: str = "", wait_s: float = MIN_RETRY_AFTER_S):
        super().__init__(detail)
        self.retry_after_s = max(MIN_RETRY_AFTER_S, wait_s)


class AnswerLate(ForwardingError):
    """The route's time has passed without a whole answer."""

    type = "answer-late"
    status = HTTPStatus.GATEWAY_TIMEOUT
    advice = "The request may have run; check before sending it again."


class AnswerBroken(ForwardingError):
    """The target's answer broke off, or never came."""

    type = "answer-broken"
    advice = "The request may have run; check before sending it again."


class AnswerTooLong(AnswerBroken):
    """The target's answer is too long to be held, and can't be passed on in parts."""

    type = "answer-too-long"


class RefusalUnproven(AnswerBroken):
    """The target refused the request and didn't say that it has not run."""

    type = "refusal-unproven"


class StreamNotResumed(AnswerBroken):
    """The answer doesn't go on where the stream that has begun broke off."""

    type = "stream-not-resumed"


class MismatchedAnswer(AnswerBroken):
    """The answer that came belongs to another request."""

    type = "strange-answer"
