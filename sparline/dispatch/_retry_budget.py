"""A retry budget, which limits retries to a small fraction of all requests."""

RETRIES_PER_REQUEST = 0.2
LARGEST_BUDGET = 20.0


class RetryBudget:
    """Token bucket that each request fills by a fraction and each retry drains by one."""

    def __init__(self) -> None:
        """Start with half of the maximum budget."""
        self._left = LARGEST_BUDGET / 2

    def earn(self) -> None:
        """Add the share of one request."""
        self._left = min(self._left + RETRIES_PER_REQUEST, LARGEST_BUDGET)

    def spend(self) -> bool:
        """Take one retry from the budget; return False if it is exhausted."""
        if self._left < 1:
            return False
        self._left -= 1
        return True
