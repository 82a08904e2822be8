"""Objectives of the service level, their windows and alert rules."""

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
    """What is measured against an objective."""

    FIRST_TOKEN = "first_token"
    TOKEN_GAP = "token_gap"
    SUCCESS = "success"


class Outcome(StrEnum):
    """How a request ended, as the service level sees it."""

    COMPLETED = "whole"
    REFUSED = "refused"
    FAILED = "failed"
    CALLER_DISCONNECTED = "caller-left"


class Objectives(NamedTuple):
    """Limits and the share of requests that is to keep them.

    A request without a first token, such as a refused one, counts against
    success only; one whose caller left counts for its times only.

    :param first_token_s: seconds to the first token.
    :param token_gap_s: mean seconds between tokens of one answer.
    """

    first_token_s: float = 1.2
    first_token_share: float = 0.95
    token_gap_s: float = 0.038
    token_gap_share: float = 0.95
    success_share: float = 0.999

    def share(self, objective: Objective) -> float:
        """Return the share of requests that is to keep ``objective``."""
        shares = {
            Objective.FIRST_TOKEN: self.first_token_share,
            Objective.TOKEN_GAP: self.token_gap_share,
            Objective.SUCCESS: self.success_share,
        }
        return shares[objective]


class Window(NamedTuple):
    """A span of time that ends now.

    :param slots: parts that it is forgotten in, oldest first.
    :param detailed: whether it keeps histograms besides counts.
    """

    name: str
    length_s: float
    slots: int = 12
    detailed: bool = False


class AlertRule(NamedTuple):
    """Raised when the burn in both windows is at least ``burn``.

    The long window shows that the burn matters, the short one that it goes on.
    A burn of 1 uses up exactly the share of requests that may miss.
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
