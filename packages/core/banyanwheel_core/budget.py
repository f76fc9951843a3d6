"""A budget that keeps retries to a share of the first tries."""

__all__ = ["RetryBudget"]


class RetryBudget:
    """Each first try earns a fraction of a retry, up to a reserve."""

    def __init__(self, share=0.1, reserve=10.0):
        self._share = share
        self._reserve = reserve
        self._balance = reserve

    def earn(self):
        """Notes a first try."""
        self._balance = min(self._reserve, self._balance + self._share)

    def spend(self):
        """Takes one retry from the budget; tells whether there was one."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
