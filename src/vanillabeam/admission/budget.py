"""Retry budgets: retries stay a small part of the requests."""

__all__ = ["RetryBudget"]


class RetryBudget:
    """A token bucket that requests fill and retries empty.

    :param ratio: retries earned by one request.
    :param burst: retries that can be saved up.

    >>> budget = RetryBudget(ratio=0.5, burst=1.0)
    >>> budget.spend(), budget.spend()
    (True, False)
    """

    def __init__(self, ratio: float = 0.1, burst: float = 20.0):
        self.ratio = ratio
        self.burst = burst
        self.balance = burst

    def earn(self) -> None:
        """Count a first try."""
        self.balance = min(self.burst, self.balance + self.ratio)

    def spend(self) -> bool:
        """Take one retry out of the budget; ``False`` if there is none."""
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True
