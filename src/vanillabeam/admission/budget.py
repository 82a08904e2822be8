"""Retry budgets, which limit retries to a small share of the requests."""

__all__ = ["RetryBudget"]


class RetryBudget:
    """A token bucket that requests fill and retries drain.

    :param ratio: retries earned by one request.
    :param burst: maximum number of retries in the bucket.
    :ivar balance: retries now in the bucket.

    >>> budget = RetryBudget(ratio=0.5, burst=1.0)
    >>> budget.spend(), budget.spend()
    (True, False)
    """

    def __init__(self, ratio: float = 0.1, burst: float = 20.0):
        self.ratio = ratio
        self.burst = burst
        self.balance = burst

    def earn(self) -> None:
        """Credit the budget for a request's first attempt."""
        self.balance = min(self.burst, self.balance + self.ratio)

    def spend(self) -> bool:
        """Take one retry from the budget; return whether there was one."""
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True
