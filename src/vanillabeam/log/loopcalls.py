"""Calls of other VMs that a replica's main loop answers."""

import trio
from returns.result import Failure, Result, Success

from vanillabeam.exceptions import MalformedBody
from vanillabeam.log.events import Received
from vanillabeam.log.exceptions import LogError, OutcomeUnknown
from vanillabeam.log.founding import BootstrapPromise
from vanillabeam.log.loop import EventBatch, ReplicaLoop
from vanillabeam.log.messages import Envelope
from vanillabeam.log.requests import (
    GroupRequest,
    Outcome,
    failure_outcome,
    request_event,
)
from vanillabeam.log.waiters import Waiters

__all__ = ["exchange_messages", "promise_bootstrap", "submit_request"]


async def exchange_messages(
    loop: ReplicaLoop, envelopes: list[Envelope]
) -> Result[list[Envelope], LogError]:
    """Hand another replica's messages to the loop; return its messages to it."""
    if not envelopes:
        return Success([])
    send, receive = trio.open_memory_channel[list[Envelope]](1)
    events = tuple(Received(envelope) for envelope in envelopes)
    put = await loop.put(EventBatch(events, envelopes[0].sender, send))
    if isinstance(put, Failure):
        return put
    return Success(await receive.receive())


async def submit_request(
    loop: ReplicaLoop, waiters: Waiters, request: GroupRequest, timeout_s: float
) -> Result[Outcome, MalformedBody]:
    """Hand a request to the loop and wait for its outcome.

    :param timeout_s: seconds after which the outcome counts as unknown.
    """
    request_id, answers = waiters.add()
    event = request_event(request, request_id)
    if event is None:
        waiters.drop(request_id)
        return Failure(MalformedBody(f"{request['kind']} lacks a field"))
    put = await loop.put(EventBatch((event,)))
    if isinstance(put, Failure):
        waiters.drop(request_id)
        return Success(failure_outcome(put.failure()))
    try:
        with trio.move_on_after(timeout_s):
            return Success(await answers.receive())
    finally:
        waiters.drop(request_id)
    return Success(failure_outcome(OutcomeUnknown("not committed in time")))


async def promise_bootstrap(loop: ReplicaLoop, founder: str) -> bool:
    """Return whether the promise to leave the bootstrap to a VM is stored."""
    send, receive = trio.open_memory_channel[None](1)
    put = await loop.put(BootstrapPromise(founder, send))
    if isinstance(put, Failure):
        return False
    try:
        await receive.receive()
    except trio.EndOfChannel:
        return False
    return True
