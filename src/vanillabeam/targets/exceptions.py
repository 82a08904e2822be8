"""Failures to grant a permit, each with its own ``type``."""

from http import HTTPStatus

from vanillabeam.exceptions import (
    NoEligibleTarget,
    Overloaded,
    Run,
    VanillabeamError,
)

__all__ = [
    "BreakerOpen",
    "DataCentreOut",
    "MovedOn",
    "NoTarget",
    "NotOwner",
    "NotPermitted",
    "OwnerUnreachable",
    "PermitUnknown",
    "Shed",
    "TakingOver",
    "TargetGone",
    "TargetLeaving",
    "VersionNotLoaded",
]


class NotPermitted(VanillabeamError):
    """The owner of a target gives no permit; nothing was sent to the target."""

    type = "not-permitted"
    status = HTTPStatus.SERVICE_UNAVAILABLE
    run = Run.NOT_RUN
    advice = "Send the request again after the time in Retry-After."
    retry_after_s = 1.0


class NotOwner(NotPermitted):
    """This VM does not own the target; the detail names who does."""

    type = "not-owner"


class OwnerUnreachable(NotPermitted):
    """The owner did not answer in time."""

    type = "owner-unreachable"


class TakingOver(NotPermitted):
    """A new owner waits until its predecessor's permits have expired.

    :param detail: name of the target.
    :param retry_after_s: seconds until the owner grants permits again.
    """

    type = "taking-over"

    def __init__(self, detail: str = "", retry_after_s: float = 1.0):
        super().__init__(detail)
        self.retry_after_s = retry_after_s


class TargetGone(NotPermitted):
    """The target has not announced itself for too long."""

    type = "target-gone"


class TargetLeaving(NotPermitted):
    """The target is draining, on standby or leaving."""

    type = "target-leaving"


class DataCentreOut(NotPermitted):
    """The target's data centre is out of service."""

    type = "data-centre-out"


class VersionNotLoaded(NotPermitted):
    """The target does not have the admitted version or adapter."""

    type = "version-not-loaded"


class MovedOn(NotPermitted):
    """Another target is the better choice now."""

    type = "moved-on"


class BreakerOpen(NotPermitted):
    """The target failed too often just now."""

    type = "breaker-open"


class PermitUnknown(NotPermitted):
    """No such permit here: it was released, or given by another owner."""

    type = "permit-unknown"


class Shed(Overloaded):
    """The request was shed before it started.

    :param detail: limit that the request exceeded.
    :param retry_after_s: seconds until the queue is expected to be shorter.
    """

    def __init__(self, detail: str = "", retry_after_s: float = 2.0):
        super().__init__(detail)
        self.retry_after_s = retry_after_s


class NoTarget(NoEligibleTarget):
    """No target can run the request now.

    :param detail: model or service without an eligible target.
    :param retry_after_s: seconds after which a retry may succeed.
    """

    def __init__(self, detail: str = "", retry_after_s: float = 2.0):
        super().__init__(detail)
        self.retry_after_s = retry_after_s
