"""A rate of cost that is smoothed over time."""


class SmoothedRate:
    """Smooth a rate; the first values count fully, without a start from zero."""

    def __init__(self, smoothing_ms: float) -> None:
        """Forget costs with a time constant (ms)."""
        self._smoothing_ms = smoothing_ms
        self._cost = 0.0
        self._span_ms = 0.0

    def add(self, cost: float, span_ms: float) -> None:
        """Add the cost of a span of time."""
        keep = max(1 - span_ms / self._smoothing_ms, 0.0)
        self._cost = self._cost * keep + cost
        self._span_ms = self._span_ms * keep + span_ms

    @property
    def per_s(self) -> float:
        """Return the smoothed cost per second."""
        return 1_000 * self._cost / self._span_ms if self._span_ms else 0.0
