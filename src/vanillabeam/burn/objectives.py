"""Service-level objectives, the time windows of the burn rate and alert rules."""

from enum import StrEnum
from typing import NamedTuple

__all__ = [
    "ALERT_RULES",
    "WINDOWS",
    "AlertRule",
    "Objective",
    "Objectives",
    "Outcome",
    "Window",
]

MINUTE_S = 60.0
HOUR_S = 3600.0
DAY_S = 86400.0


class Objective(StrEnum):
    """Indicators that have a service-level objective."""

    FIRST_TOKEN = "first_token"
    TOKEN_GAP = "token_gap"
    SUCCESS = "success"


class Outcome(StrEnum):
    """Outcome of a request for the service level."""

    COMPLETED = "whole"
    REFUSED = "refused"
    FAILED = "failed"
    CALLER_DISCONNECTED = "caller-left"


class Objectives(NamedTuple):
    """Time limits and the required share of requests within each of them.

    A request without a first token, such as a refused one, counts for the success
    objective only. A request whose caller disconnected counts for the time
    objectives only.

    :param first_token_s: limit in seconds of the time to first token.
    :param first_token_share: required share of requests within that limit.
    :param token_gap_s: limit in seconds of the mean time between tokens of an
        answer.
    :param token_gap_share: required share of requests within that limit.
    :param success_share: required share of successful requests.
    """

    first_token_s: float = 1.2
    first_token_share: float = 0.95
    token_gap_s: float = 0.038
    token_gap_share: float = 0.95
    success_share: float = 0.999

    def share(self, objective: Objective) -> float:
        """Return the required share of requests that meet ``objective``."""
        shares = {
            Objective.FIRST_TOKEN: self.first_token_share,
            Objective.TOKEN_GAP: self.token_gap_share,
            Objective.SUCCESS: self.success_share,
        }
        return shares[objective]


class Window(NamedTuple):
    """A time window that ends now.

    :param length_s: length in seconds.
    :param slots: number of time slots; the window drops its oldest slot at a time.
    :param detailed: whether the window keeps histograms in addition to counts.
    """

    name: str
    length_s: float
    slots: int = 12
    detailed: bool = False


class AlertRule(NamedTuple):
    """Alert when the burn rate of both windows is at least ``burn``.

    The long window shows that the burn is significant, the short window that it
    still continues. A burn rate of 1 uses up exactly the error budget.

    :param long: name of the long window.
    :param short: name of the short window.
    :param burn: burn rate from which the alert fires.
    """

    name: str
    long: str
    short: str
    burn: float


WINDOWS = (
    Window("5m", 5 * MINUTE_S, slots=5),
    Window("1h", HOUR_S, detailed=True),
    Window("6h", 6 * HOUR_S),
    Window("3d", 3 * DAY_S, detailed=True),
)

ALERT_RULES = (
    AlertRule("fast", long="1h", short="5m", burn=14.4),
    AlertRule("slow", long="3d", short="6h", burn=1.0),
)
