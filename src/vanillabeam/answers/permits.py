"""Request for the permit of a request's next attempt."""

import trio
from returns.result import Success

from vanillabeam.answers.records import Acquire
from vanillabeam.answers.requestrun import DeadlinePassed, Denied, Granted
from vanillabeam.targets import RouteRequest

__all__ = ["request_permit"]


async def request_permit(
    acquire: Acquire, route: RouteRequest, excluded: frozenset[str], end_by_s: float
) -> Granted | Denied | DeadlinePassed:
    """Request a permit and return the event that reports the result.

    :param excluded: names of targets that must not be chosen, beside those that
        ``route`` excludes.
    :param end_by_s: monotonic time until which a permit is awaited.
    """
    route = route._replace(
        excluded=route.excluded | excluded,
        deadline_s=end_by_s - trio.current_time(),
    )
    with trio.move_on_at(end_by_s) as scope:
        result = await acquire(route)
    if scope.cancelled_caught:
        return DeadlinePassed()
    if isinstance(result, Success):
        return Granted(result.unwrap())
    return Denied(result.failure())
