"""Time that a new leader waits before its first order."""

__all__ = ["OrderLease"]


class OrderLease:
    """Right of the fleet log's leader to order targets, one lease after its election.

    The previous leader may have sent orders until its leadership ended, and no two
    leaders may order a target within one lease.

    :param lease_s: seconds that a lease lasts.
    :ivar is_held: whether this VM may order.

    >>> lease = OrderLease(3.0)
    >>> lease.update(True, term=4, now_s=1.0)
    False
    >>> lease.update(True, term=4, now_s=4.0)
    True
    """

    def __init__(self, lease_s: float):
        self.is_held = False
        self._lease_s = lease_s
        self._leased_term = -1
        self._term = -1
        self._since_s = 0.0

    def update(self, is_leader: bool, term: int, now_s: float) -> bool:
        """Return whether this VM may order.

        :param is_leader: whether it leads the log, in touch with a quorum.
        """
        if is_leader and term != self._leased_term:
            self._wait(term, now_s)
        elif not is_leader:
            self._term = -1
        self.is_held = is_leader and term == self._leased_term
        return self.is_held

    def _wait(self, term: int, now_s: float) -> None:
        if term != self._term:
            self._term, self._since_s = term, now_s
        if now_s - self._since_s >= self._lease_s:
            self._leased_term = term
