"""Failures of calls with an ``Idempotency-Key`` that are not sent."""

from http import HTTPStatus

from vanillabeam.exceptions import Run, VanillabeamError

__all__ = [
    "ClaimError",
    "ClaimInProgress",
    "ClaimUnknown",
    "ClaimsFull",
    "ClaimsUnavailable",
    "KeyFromFuture",
    "KeyReused",
    "KeyTooLong",
    "KeyTooOld",
]


class ClaimError(VanillabeamError):
    """Base of the refusals of claims; this request was not sent."""

    type = "claim-refused"
    status = HTTPStatus.CONFLICT
    run = Run.NOT_RUN


class ClaimsUnavailable(ClaimError):
    """The claims log has no quorum that this VM reaches."""

    type = "claims-unavailable"
    status = HTTPStatus.SERVICE_UNAVAILABLE
    advice = "Send the request again with the same key."
    retry_after_s = 2.0


class ClaimsFull(ClaimError):
    """The claims log holds as many keys as it may."""

    type = "claims-full"
    status = HTTPStatus.SERVICE_UNAVAILABLE
    advice = "Send the request again later; tell the operators."
    retry_after_s = 60.0


class ClaimInProgress(ClaimError):
    """Another request with this key is running.

    :param retry_after_s: seconds after which the caller should send the request again.
    """

    type = "claim-in-progress"
    run = Run.UNKNOWN
    advice = "Send the request again with the same key for the outcome."

    def __init__(self, detail: str = "", retry_after_s: float = 1.0):
        super().__init__(detail)
        self.retry_after_s = retry_after_s


class ClaimUnknown(ClaimError):
    """A request with this key may have run; it is not sent again."""

    type = "claim-unknown"
    run = Run.UNKNOWN
    advice = (
        "Look at the service whether it ran. Operators settle the key by a "
        "ticket; then send the request again with the same key."
    )


class KeyReused(ClaimError):
    """The key was used for another request."""

    type = "key-reused"
    status = HTTPStatus.UNPROCESSABLE_ENTITY
    advice = "Take a new key for a new request."


class KeyTooOld(ClaimError):
    """The key carries a time for which outcomes are no longer kept."""

    type = "key-too-old"
    status = HTTPStatus.UNPROCESSABLE_ENTITY
    run = Run.UNKNOWN
    advice = "Look at the service whether the earlier request ran."


class KeyFromFuture(ClaimError):
    """The key carries a time that has not come yet."""

    type = "key-from-future"
    status = HTTPStatus.UNPROCESSABLE_ENTITY
    advice = "Set the clock that makes the keys."


class KeyTooLong(ClaimError):
    """The key has more characters than are kept."""

    type = "key-too-long"
    status = HTTPStatus.UNPROCESSABLE_ENTITY
    advice = "Use a key of at most 255 characters, such as a UUIDv7."
