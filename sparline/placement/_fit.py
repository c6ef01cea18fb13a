"""Least-squares regression with a prior and exponential forgetting."""

from collections.abc import Sequence


class Fit:
    """Learns the weights of a linear model from measurements."""

    def __init__(self, prior: Sequence[float], confidence: Sequence[float], decay: float) -> None:
        """Start from the prior weights `prior`.

        `confidence` is the trust in each of them, as a sum of squared features; `decay` is the
        factor by which the weight of older measurements shrinks with each new one.
        """
        size = len(prior)
        self.weights = tuple(prior)  # current estimate, in the order of the features
        self._prior = tuple(prior)
        self._confidence = tuple(confidence)
        self._decay = decay
        self._squares = [[0.0] * size for _ in range(size)]
        self._products = [0.0] * size

    def note(self, features: Sequence[float], measured: float) -> None:
        """Update the weights with one measurement."""
        for row, one in zip(self._squares, features, strict=True):
            for column, other in enumerate(features):
                row[column] = row[column] * self._decay + one * other
        for index, one in enumerate(features):
            self._products[index] = self._products[index] * self._decay + one * measured
        self.weights = self._solve()

    def _solve(self) -> tuple[float, ...]:
        """Solve the normal equations; the prior keeps them from being singular."""
        rows = [
            [*row, product + self._confidence[index] * self._prior[index]]
            for index, (row, product) in enumerate(zip(self._squares, self._products, strict=True))
        ]
        for index, row in enumerate(rows):
            row[index] += self._confidence[index]
        return _eliminate(rows)


def _eliminate(rows: list[list[float]]) -> tuple[float, ...]:
    """Return the solution of a positive definite system with its right-hand side as last column."""
    size = len(rows)
    for pivot in range(size):
        scale = rows[pivot][pivot]
        rows[pivot] = [one / scale for one in rows[pivot]]
        for other in range(size):
            factor = rows[other][pivot]
            if other != pivot and factor:
                rows[other] = [
                    one - factor * pivot_one
                    for one, pivot_one in zip(rows[other], rows[pivot], strict=True)
                ]
    return tuple(row[-1] for row in rows)
