"""A budget that keeps retries a small part of all requests."""

RETRIES_PER_REQUEST = 0.2
LARGEST_BUDGET = 20.0


class RetryBudget:
    """Earn a part of a retry with each request, spend one with each retry."""

    def __init__(self) -> None:
        """Start with half of the largest budget."""
        self._left = LARGEST_BUDGET / 2

    def earn(self) -> None:
        """Count one request."""
        self._left = min(self._left + RETRIES_PER_REQUEST, LARGEST_BUDGET)

    def spend(self) -> bool:
        """Take one retry; False when the budget is used up."""
        if self._left < 1:
            return False
        self._left -= 1
        return True
