"""A retry budget, which limits retries to a small fraction of all requests."""

RETRIES_PER_REQUEST = 0.2  # added to the budget by each request
MAX_SAVED_RETRIES = 20.0  # number of retries that can be saved up


class RetryBudget:
    """Token bucket that each request fills by a fraction and each retry drains by one."""

    def __init__(self) -> None:
        """Start with half of the maximum budget."""
        self._balance = MAX_SAVED_RETRIES / 2

    def earn(self) -> None:
        """Add the fraction of a retry that one request contributes."""
        self._balance = min(self._balance + RETRIES_PER_REQUEST, MAX_SAVED_RETRIES)

    def spend(self) -> bool:
        """Take one retry from the budget; return False if it is exhausted."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True
