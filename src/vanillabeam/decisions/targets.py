"""Records of the log lines about targets, their weights and their stores."""

from typing import NamedTuple

__all__ = [
    "AnnouncementUnreadable",
    "FenceRaised",
    "LeavingReported",
    "LimitUnreadable",
    "PartsFreed",
    "PartsRetired",
    "StoreHeard",
    "StoreLost",
    "TargetCapacityChanged",
    "TargetChanged",
    "TargetLeaving",
    "TargetLeft",
    "TargetLimited",
    "TargetPaused",
    "TargetUnlimited",
    "TargetRested",
    "TargetSilent",
    "TargetStays",
    "TargetUnlisted",
    "WeightsHeld",
    "WeightsOrdered",
]


class TargetChanged(NamedTuple):
    """A target announced a change of its state.

    :param sequence: number of the announcement, counted from the target's start.
    :param age_s: age of the announcement in seconds.
    :param software: version of its software.
    """

    target: str
    service: str
    address: str
    born_ms: int
    sequence: int
    draining: bool
    cold_ms: float
    age_s: float
    software: str


class TargetCapacityChanged(NamedTuple):
    """A target became slow or is no longer, or takes another number of requests well.

    :param tokens_s: tokens that it prefills a second; 0 while unknown.
    :param takes_well: open requests from which it slows; 0 while unknown.
    :param call_s: seconds of a plain call; 0 while unknown.
    :param is_slow: whether it is much slower than the median of its service, so that it
        gets less.
    """

    service: str
    target: str
    tokens_s: float
    takes_well: int
    call_s: float
    is_slow: bool


class TargetLeft(NamedTuple):
    """An incarnation of a target has ended."""

    target: str
    born_ms: int


class TargetLeaving(NamedTuple):
    """A target said in an answer to this VM that it leaves; it gets no more requests.

    :param request_id: the request that it answered; empty for a call of this VM.
    """

    target: str
    born_ms: int
    request_id: str


class TargetStays(NamedTuple):
    """A target that said that it leaves, to this control VM, still announces itself.

    It gets requests and orders again.

    :param age_s: seconds since it last said so.
    """

    target: str
    born_ms: int
    age_s: float


class LeavingReported(NamedTuple):
    """Control VMs report that a target leaves by its answer, or no longer do.

    :param leaving: whether one of them does now.
    """

    target: str
    born_ms: int
    leaving: bool


class TargetPaused(NamedTuple):
    """A target refused a request of this VM and asked for no more for some time.

    :param text: its ``Retry-After`` as received.
    :param is_literal: whether that was a number within bounds.
    :param pause_s: seconds until this VM may send it a request again.
    """

    target: str
    born_ms: int
    request_id: str
    text: str
    is_literal: bool
    pause_s: float


class TargetLimited(NamedTuple):
    """A target takes so many requests a second from all VMs together, from now on.

    :param rate_s: requests a second.
    :param before_rate_s: requests a second before; ``None`` without a limit.
    :param request_id: the request whose answer said so; empty for a call of this VM.
    :param source: VM that told this one; empty if this VM had the answer itself.
    :param age_s: seconds since that answer arrived.
    """

    target: str
    born_ms: int
    rate_s: float
    before_rate_s: float | None
    request_id: str
    source: str
    age_s: float


class TargetUnlimited(NamedTuple):
    """A target no longer names a limit; its rate returns by steps.

    :param rate_s: requests a second until now.
    :param held_s: seconds for which that limit held, as this VM knows.
    :param request_id: the request whose answer said so; empty for a call of this VM.
    :param source: VM that told this one; empty if this VM had the answer itself.
    :param age_s: seconds since that answer arrived.
    """

    target: str
    born_ms: int
    rate_s: float
    held_s: float
    request_id: str
    source: str
    age_s: float


class LimitUnreadable(NamedTuple):
    """A target named a limit that can't be believed, or several.

    :param text: the values as received.
    :param rate_s: requests a second that count; ``None`` if all else stays as it was.
    """

    target: str
    born_ms: int
    request_id: str
    text: str
    rate_s: float | None


class TargetSilent(NamedTuple):
    """No announcement of a target has arrived for too long."""

    target: str
    born_ms: int


class TargetUnlisted(NamedTuple):
    """A control VM hears a target that this VM doesn't list.

    :param address: ``host:port`` of the control VM for other VMs.
    :param age_s: age of the newest announcement in seconds, by that control VM.
    :param unlisted_s: seconds since its replies first named the target.
    """

    target: str
    address: str
    age_s: float
    unlisted_s: float


class TargetRested(NamedTuple):
    """A target that gave no valid answer gets no requests for a backoff time.

    :param rest_s: backoff time in seconds.
    :param cut_off: whether the target's data centre is now used only if no
        other can take the request.
    """

    target: str
    rest_s: float
    cut_off: bool


class AnnouncementUnreadable(NamedTuple):
    """An announcement is invalid and names no usable target."""

    target: str
    detail: str


class FenceRaised(NamedTuple):
    """The leader raised its fencing number, as a target refused it though it leads.

    :param refused: fencing number that was refused.
    :param fence: fencing number from now on.
    """

    refused: int
    fence: int
    failure: str


class WeightsHeld(NamedTuple):
    """A target on older weights gets no order now: why, and for how long already.

    :param newest: newest version of the model.
    :param reason: ``backoff``, ``draining``, ``fenced``, ``no-lease``, ``no-slot`` or
        ``not-known``.
    :param reply: its answer to the last order; empty if it got none.
    :param held_s: seconds since this has been the reason.
    """

    target: str
    model: str
    version: int
    newest: int
    reason: str
    reply: str
    held_s: float


class WeightsOrdered(NamedTuple):
    """The leader ordered a target to load weights.

    :param fence: fencing number, by which the target rejects older leaders.
    :param strategy: what becomes of the target's runs: they end first (``wait``), are
        broken off (``truncate``) or go on under the new weights (``retain``).
    """

    target: str
    model: str
    version: int
    fence: int
    strategy: str
    reply: str


class StoreHeard(NamedTuple):
    """A store has listed the prompt parts that it holds."""

    store: str
    epoch: int
    count: int


class StoreLost(NamedTuple):
    """A store stopped answering, restarted or lost events."""

    store: str
    epoch: int


class PartsRetired(NamedTuple):
    """Prompt parts of a store were removed from the index of stored parts."""

    store: str
    count: int


class PartsFreed(NamedTuple):
    """A store has freed the memory of retired prompt parts."""

    store: str
    count: int
