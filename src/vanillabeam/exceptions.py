"""Exceptions of vanillabeam: a base class and one class for each failure type."""

from enum import StrEnum
from http import HTTPStatus
from typing import ClassVar

__all__ = [
    "AuthorDiffers",
    "BodyTooLarge",
    "BodyTooSlow",
    "DeadlineExceeded",
    "DepartureUncommitted",
    "Draining",
    "ImportsClosed",
    "InvariantBroken",
    "MalformedBody",
    "MalformedHeader",
    "MalformedPath",
    "MemoryShort",
    "NoEligibleTarget",
    "NotReady",
    "OrderAbandoned",
    "Overloaded",
    "PeerSilent",
    "PeerUnreachable",
    "PortUnavailable",
    "ProcessPaused",
    "RemoteFailure",
    "Run",
    "SettingsInvalid",
    "TargetFailed",
    "TargetUnreachable",
    "Unauthenticated",
    "UnknownModel",
    "UnknownPart",
    "UnknownPath",
    "UnknownService",
    "UnknownTrace",
    "VanillabeamError",
]


class Run(StrEnum):
    """Whether a failed request was run by a target."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    RAN = "ran"


class VanillabeamError(Exception):
    """Base of every failure.

    Functional cores return failures as values, wrapped in a ``returns``
    ``Failure``; shells raise them only where there is no caller to return to.

    :cvar type: stable name, the last part of the problem document's ``type``.
    :cvar status: HTTP status of the answer to the caller.
    :cvar run: whether the request may have run.
    :cvar advice: what the caller or operator should do next.
    :cvar retry_after_s: seconds to wait before a retry; ``None`` if the answer
        carries no ``Retry-After``.
    :param detail: description of this occurrence, without keys or prompts.
    """

    type: ClassVar[str] = "internal"
    status: ClassVar[HTTPStatus] = HTTPStatus.INTERNAL_SERVER_ERROR
    run: ClassVar[Run] = Run.UNKNOWN
    advice: ClassVar[str] = "Report the request id to the operators."
    retry_after_s: ClassVar[float | None] = None

    def __init__(self, detail: str = ""):
        super().__init__(detail or self.type)
        self.detail = detail


class InvariantBroken(VanillabeamError):
    """An invariant of a core does not hold; that piece of work stops."""

    type = "invariant-broken"


class PortUnavailable(VanillabeamError):
    """The port of a listener is in use, or can't be bound; the VM waits for it."""

    type = "port-unavailable"
    status = HTTPStatus.SERVICE_UNAVAILABLE
    run = Run.NOT_RUN
    advice = "End what holds the port; the VM then goes on by itself."


class MalformedBody(VanillabeamError):
    """A body is not the JSON document that its path takes."""

    type = "malformed-body"
    status = HTTPStatus.BAD_REQUEST
    run = Run.NOT_RUN
    advice = "Correct the body; the detail names the field."


class MalformedHeader(VanillabeamError):
    """A header of the request does not hold."""

    type = "malformed-header"
    status = HTTPStatus.BAD_REQUEST
    run = Run.NOT_RUN
    advice = "Correct the header that the detail names."


class MalformedPath(VanillabeamError):
    """A path that could be read in more than one way."""

    type = "malformed-path"
    status = HTTPStatus.BAD_REQUEST
    run = Run.NOT_RUN
    advice = "Send a path without empty, dot or encoded-slash segments."


class BodyTooLarge(VanillabeamError):
    """A body is larger than its listener's limit."""

    type = "body-too-large"
    status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
    run = Run.NOT_RUN
    advice = "Send a smaller body."


class BodyTooSlow(VanillabeamError):
    """A body did not arrive within its listener's time."""

    type = "body-too-slow"
    status = HTTPStatus.REQUEST_TIMEOUT
    run = Run.NOT_RUN
    advice = "Send the body faster or smaller."


class Unauthenticated(VanillabeamError):
    """No key, or one that no workspace or operator has."""

    type = "unauthenticated"
    status = HTTPStatus.UNAUTHORIZED
    run = Run.NOT_RUN
    advice = "Send a valid key as Authorization: Bearer KEY."


class AuthorDiffers(VanillabeamError):
    """A ticket names another author than the operator who sends it."""

    type = "author-differs"
    status = HTTPStatus.FORBIDDEN
    run = Run.NOT_RUN
    advice = "Put your own operator name into the ticket's author."


class UnknownPath(VanillabeamError):
    """A path that this listener does not serve."""

    type = "unknown-path"
    status = HTTPStatus.NOT_FOUND
    run = Run.NOT_RUN
    advice = "See the callers' page for the paths that are served."


class UnknownModel(VanillabeamError):
    """A model or adapter that is not in force or not this workspace's."""

    type = "unknown-model"
    status = HTTPStatus.NOT_FOUND
    run = Run.NOT_RUN
    advice = "List the models with GET /v1/models."


class UnknownPart(VanillabeamError):
    """A part of prompts that is not quarantined."""

    type = "unknown-part"
    status = HTTPStatus.NOT_FOUND
    run = Run.NOT_RUN
    advice = "List the quarantined parts; it may have been released already."


class UnknownService(VanillabeamError):
    """A plain service that is not in force or not this workspace's."""

    type = "unknown-service"
    status = HTTPStatus.NOT_FOUND
    run = Run.NOT_RUN
    advice = "Ask the operators for the services of your workspace."


class UnknownTrace(VanillabeamError):
    """No VM that was asked has a trace of this request."""

    type = "unknown-trace"
    status = HTTPStatus.NOT_FOUND
    advice = "Traces of the newest requests are kept; the logs have the rest."


class MemoryShort(VanillabeamError):
    """This VM holds too many bytes of other requests."""

    type = "memory-short"
    status = HTTPStatus.SERVICE_UNAVAILABLE
    run = Run.NOT_RUN
    advice = "Send the request again after the time in Retry-After."
    retry_after_s = 0.5


class NotReady(VanillabeamError):
    """This VM does not know the configuration yet."""

    type = "not-ready"
    status = HTTPStatus.SERVICE_UNAVAILABLE
    run = Run.NOT_RUN
    advice = "Send the request again; another VM may be ready."
    retry_after_s = 1.0


class Draining(VanillabeamError):
    """This VM is stopping and takes no new work."""

    type = "draining"
    status = HTTPStatus.SERVICE_UNAVAILABLE
    run = Run.NOT_RUN
    advice = "Send the request again; another VM takes it."
    retry_after_s = 1.0


class DepartureUncommitted(VanillabeamError):
    """That a target leaves is known here, and not yet to most control VMs."""

    type = "departure-uncommitted"
    status = HTTPStatus.SERVICE_UNAVAILABLE
    advice = "Tell another control VM; this one goes on trying."


class OrderAbandoned(VanillabeamError):
    """The caller of an order closed its connection before it was settled."""

    type = "order-abandoned"
    status = HTTPStatus.SERVICE_UNAVAILABLE
    advice = "Send the order again if it still stands."


class ProcessPaused(VanillabeamError):
    """This process did not run for a while: the order may have been sent long ago."""

    type = "process-paused"
    status = HTTPStatus.SERVICE_UNAVAILABLE
    run = Run.NOT_RUN
    advice = "Send the order again if it still stands."
    retry_after_s = 0.5


class NoEligibleTarget(VanillabeamError):
    """No target in service can run the request now."""

    type = "no-eligible-target"
    status = HTTPStatus.SERVICE_UNAVAILABLE
    run = Run.NOT_RUN
    advice = "Send the request again after the time in Retry-After."
    retry_after_s = 2.0


class Overloaded(VanillabeamError):
    """The request was shed before it started."""

    type = "overloaded"
    status = HTTPStatus.TOO_MANY_REQUESTS
    run = Run.NOT_RUN
    advice = "Send the request again after the time in Retry-After."
    retry_after_s = 2.0


class DeadlineExceeded(VanillabeamError):
    """The request's deadline passed before its answer was whole."""

    type = "deadline-exceeded"
    status = HTTPStatus.GATEWAY_TIMEOUT
    advice = "The request may have run; a model prompt may be sent again."


class TargetFailed(VanillabeamError):
    """The target answered with a failure of its own."""

    type = "target-failed"
    status = HTTPStatus.BAD_GATEWAY
    advice = "The request may have run; a model prompt may be sent again."


class TargetUnreachable(VanillabeamError):
    """The connection to the target ended before its answer was whole."""

    type = "target-unreachable"
    status = HTTPStatus.BAD_GATEWAY
    advice = "The request may have run; a model prompt may be sent again."


class ImportsClosed(VanillabeamError):
    """A target takes no import now: it is being ordered, or not owned here."""

    type = "imports-closed"
    status = HTTPStatus.CONFLICT
    run = Run.NOT_RUN
    advice = "The prompt is computed instead."


class PeerUnreachable(VanillabeamError):
    """Another VM could not be connected to; nothing was sent."""

    type = "peer-unreachable"
    status = HTTPStatus.BAD_GATEWAY
    run = Run.NOT_RUN
    advice = "Look at the status of that VM; send the request again."
    retry_after_s = 1.0


class PeerSilent(VanillabeamError):
    """Another VM took the message and did not answer in time."""

    type = "peer-silent"
    status = HTTPStatus.GATEWAY_TIMEOUT
    advice = "It is not known whether the message took effect; ask again."


class RemoteFailure(VanillabeamError):
    """Another VM failed in a way that this release does not know."""

    type = "remote-failure"
    status = HTTPStatus.BAD_GATEWAY


class SettingsInvalid(VanillabeamError):
    """The settings file does not hold; the detail lists every fault.

    :param detail: all faults, one on each line.
    :param faults: one ``path: message`` for each fault.
    """

    type = "settings-invalid"
    status = HTTPStatus.BAD_REQUEST
    run = Run.NOT_RUN
    advice = "Correct the paths that are named and run settings check again."

    def __init__(self, detail: str = "", faults: tuple[str, ...] = ()):
        super().__init__(detail or "\n".join(faults))
        self.faults = faults
