"""Times and bounds of target ownership."""

from typing import NamedTuple

__all__ = ["TargetsSettings"]


class TargetsSettings(NamedTuple):
    """What an entry needs to know to own targets and to ask for permits.

    :param permit_s: life of a permit at its holder, from the moment of asking.
    :param permit_margin_s: how much longer the owner counts it.
    :param target_gone_s: silence after which a target gets no permits.
    :param view_lag_s: bound between two VMs' notice of the same lost VM; a new
        owner grants nothing for so long.
    :param forget_s: time after which a lost VM's share is used again.
    :param entries_expected: entry VMs that this data centre should have; 0 if
        that is not known.
    :param poll_s: longest wait of one call for a permit.
    :param poll_grace_s: how long a waiting ask keeps its place between calls.
    :param call_s: limit of any other call between VMs.
    :param queue_per_slot: requests that wait at a target, per slot.
    :param waiting_limit: requests that wait at this entry.
    :param tries: targets that one request is tried at.
    :param tick_s: period of timers.
    :param summary_s: shortest period of summaries to other entries.
    :param summary_bytes_s: bytes of summaries that an entry takes a second;
        the period grows with the fleet to stay below.
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
        """Return for how long a new owner grants only the cold window."""
        return self.view_lag_s + self.permit_s + self.permit_margin_s
