"""Settings of target ownership."""

from typing import NamedTuple

__all__ = ["TargetsSettings"]


class TargetsSettings(NamedTuple):
    """Durations and limits for owning targets and for requesting permits.

    :param permit_s: lifetime of a permit in seconds, counted by its holder from
        the time of its request.
    :param permit_margin_s: seconds by which the owner's copy of a permit outlives
        the holder's.
    :param target_timeout_s: seconds without an announcement after which a target
        gets no more permits.
    :param view_lag_s: longest time in seconds between two VMs' detection of the
        same lost VM; a new owner grants no permits for this time.
    :param share_reclaim_s: seconds after which the share of a lost VM may be
        granted again.
    :param entries_expected: number of entry VMs that this data centre should
        have; 0 if unknown.
    :param poll_s: longest time in seconds that one call waits for a permit.
    :param poll_grace_s: seconds for which a queued permit request keeps its place
        between two calls.
    :param call_s: timeout in seconds of any other call between VMs.
    :param queue_per_slot: length limit of a target's queue, in permit requests
        per slot of the target.
    :param max_waiting: highest number of requests that wait at this entry.
    :param max_tries: highest number of targets that one request is tried at.
    :param tick_s: period of the timers in seconds.
    :param summary_s: shortest period of summaries to other entries, in seconds.
    :param summary_bytes_s: bytes of summaries that an entry may receive per
        second; the period grows with the fleet to stay below this rate.
    """

    permit_s: float = 10.0
    permit_margin_s: float = 2.0
    target_timeout_s: float = 10.0
    view_lag_s: float = 5.0
    share_reclaim_s: float = 30.0
    entries_expected: int = 0
    poll_s: float = 1.0
    poll_grace_s: float = 1.0
    call_s: float = 2.0
    queue_per_slot: float = 4.0
    max_waiting: int = 2000
    max_tries: int = 4
    tick_s: float = 0.25
    summary_s: float = 0.5
    summary_bytes_s: float = 6000.0

    @property
    def takeover_s(self) -> float:
        """Return the seconds for which a new owner grants only the cold window."""
        return self.view_lag_s + self.permit_s + self.permit_margin_s
