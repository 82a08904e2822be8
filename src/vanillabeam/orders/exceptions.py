"""Failures of orders to targets."""

from http import HTTPStatus

from vanillabeam.exceptions import Run, VanillabeamError

__all__ = ["FloorReached", "LoadsLimited", "NotLeaseKeeper", "OrderTimedOut"]


class NotLeaseKeeper(VanillabeamError):
    """This VM does not give out load leases."""

    type = "not-load-keeper"
    status = HTTPStatus.MISDIRECTED_REQUEST
    run = Run.NOT_RUN
    advice = "Ask the next control VM."
    retry_after_s = 1.0


class LoadsLimited(VanillabeamError):
    """Enough targets load from that weight store now."""

    type = "loads-limited"
    status = HTTPStatus.TOO_MANY_REQUESTS
    run = Run.NOT_RUN
    advice = "Ask again; loads take turns."
    retry_after_s = 1.0


class FloorReached(VanillabeamError):
    """No more targets of that model may be out at once."""

    type = "floor-reached"
    status = HTTPStatus.TOO_MANY_REQUESTS
    run = Run.NOT_RUN
    advice = "Wait for targets to be ready, or lower the model's min_ready."
    retry_after_s = 2.0


class OrderTimedOut(VanillabeamError):
    """A target did not answer an order in time; it may have obeyed."""

    type = "order-timed-out"
    status = HTTPStatus.GATEWAY_TIMEOUT
    advice = "The order is repeated until the target's announcement agrees."
