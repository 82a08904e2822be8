"""Reports of entry VMs to the leader on targets that ended."""

from typing import NamedTuple, Protocol, TypedDict

__all__ = ["BrokenRequest", "Evidence", "EvidenceSource", "NoEvidence"]


class BrokenRequest(NamedTuple):
    """A request that was open at a target when that target ended.

    :param born_ms: start time of the target's incarnation, in Unix milliseconds.
    :param parts: parts of its prompt that other requests may share, in order.
    :param sent_age_s: seconds since it was sent to the target.
    :param ended_age_s: seconds since its answer broke off.
    """

    request_id: str
    target: str
    born_ms: int
    parts: tuple[str, ...]
    sent_age_s: float
    ended_age_s: float


class Evidence(TypedDict):
    """Observations of one entry VM that bear on parts of prompts.

    :param broken: its requests that broke with their targets lately.
    :param answered: seconds since its last whole answer to a prompt with a part, for
        each part that the leader asks about; ``None`` without one.
    :param waiting: quarantined parts of requests that wait for a trial.
    :param trying: quarantined parts of requests that it has sent as a trial.
    """

    broken: list[BrokenRequest]
    answered: dict[str, float | None]
    waiting: list[str]
    trying: list[str]


class EvidenceSource(Protocol):
    """The observations of an entry VM."""

    def evidence(self, accused: dict[str, int], now_s: float) -> Evidence | None:
        """Return what there is to tell; ``None`` for nothing.

        :param accused: parts that the leader asks about, with the number of targets
            that ended under them one after the other.
        """


class NoEvidence:
    """Observations of a VM that sends no requests to targets."""

    def evidence(self, accused: dict[str, int], now_s: float) -> Evidence | None:
        """Return ``None``."""
