"""Failures that callers get instead of a complete answer."""

from http import HTTPStatus

from vanillabeam.exceptions import Run, VanillabeamError

__all__ = [
    "AnswerCut",
    "AnswerLost",
    "AnswerTooLarge",
    "BodyNotKept",
    "CallNotRepeated",
    "CallerDisconnected",
    "PromptRejected",
    "RetriesDenied",
    "TargetRefused",
]


class AnswerLost(VanillabeamError):
    """No target gave an answer, and one of them may have run the request."""

    type = "answer-lost"
    status = HTTPStatus.BAD_GATEWAY
    advice = "The prompt may be sent again; it changes nothing by running twice."
    retry_after_s = 1.0


class AnswerCut(VanillabeamError):
    """The answer ends early: no engine could go on with it."""

    type = "answer-cut"
    status = HTTPStatus.BAD_GATEWAY
    run = Run.RAN
    advice = "What came so far is right but not whole; send the prompt again."
    retry_after_s = 1.0


class AnswerTooLarge(VanillabeamError):
    """The request ran, but its answer is larger than this VM takes."""

    type = "answer-too-large"
    status = HTTPStatus.BAD_GATEWAY
    run = Run.RAN
    advice = "Ask the service for less at once."


class BodyNotKept(VanillabeamError):
    """The call ran under this key before; its body was too large to keep.

    :param detail: the status of the recorded answer, if known.
    """

    type = "body-not-kept"
    status = HTTPStatus.CONFLICT
    run = Run.RAN
    advice = "The call is done; ask the service for its state."


class CallNotRepeated(VanillabeamError):
    """The call may have run, and this kind of call is not sent twice."""

    type = "call-not-repeated"
    status = HTTPStatus.BAD_GATEWAY
    advice = (
        "Look whether it ran before sending it again; with an Idempotency-Key "
        "a repeat is safe."
    )


class CallerDisconnected(VanillabeamError):
    """The caller closed the connection before the answer was whole."""

    type = "caller-left"
    status = HTTPStatus.BAD_REQUEST
    advice = "Nothing; nobody waits for this answer."


class PromptRejected(VanillabeamError):
    """The engine rejected the request's parameters.

    :param detail: the engine's error text.
    :param status: the engine's HTTP status, 4xx.
    """

    type = "prompt-rejected"
    status = HTTPStatus.BAD_REQUEST
    advice = "Correct the request; the detail is the engine's."

    def __init__(self, detail: str = "", status: int = 400):
        super().__init__(detail)
        self.status = HTTPStatus(status)


class RetriesDenied(VanillabeamError):
    """The retry budget of this VM is spent."""

    type = "retries-denied"
    status = HTTPStatus.SERVICE_UNAVAILABLE
    advice = "Send the request again after the time in Retry-After."
    retry_after_s = 2.0


class TargetRefused(VanillabeamError):
    """Every target that was asked refused to start the request.

    :param detail: problem type of the last refusal.
    """

    type = "target-refused"
    status = HTTPStatus.SERVICE_UNAVAILABLE
    run = Run.NOT_RUN
    advice = "Send the request again after the time in Retry-After."
    retry_after_s = 1.0
