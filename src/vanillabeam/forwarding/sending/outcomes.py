"""Outcomes of one attempt, and the end of a target's answer."""

from typing import NamedTuple

from vanillabeam.forwarding.dialect import Headers
from vanillabeam.forwarding.sending.upstream import Broken

__all__ = ["AnswerEnd", "Delivered", "Outcome", "Whole"]


class AnswerEnd(NamedTuple):
    """End of a target's answer.

    :param framing: how the end was marked; empty before the head of the answer.
    :param partial_bytes: bytes of a stream after its last complete event.
    """

    framing: str = ""
    partial_bytes: int = 0


class Whole(NamedTuple):
    """A complete answer that has not been passed on to the caller.

    :param is_pause: whether the target asked for no more requests for some time.
    :param is_cut: whether the body was too long to be read; it is empty then.
    """

    status: int
    headers: Headers
    body: bytes
    is_pause: bool = False
    is_cut: bool = False


class Delivered(NamedTuple):
    """A complete answer was sent to the caller."""

    status: int


#: Outcome of one attempt.
Outcome = Whole | Delivered | Broken
