"""A registry of counters and gauges with the project's prefix."""

from functools import cache
from typing import TypeVar

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

Labelled = TypeVar("Labelled", Counter, Histogram)


def keep_children(metric: Labelled) -> Labelled:
    """Let a metric look up its children, which are never removed, without its lock.

    `labels` checks and converts each value at each call, which takes longer than to count.
    """
    metric.labels = cache(metric.labels)  # type: ignore[method-assign]
    return metric


class MetricsRegistry:
    """Make metrics and render them; those that every instance has are made here."""

    def __init__(self) -> None:
        """Start with a registry of its own."""
        self.registry = CollectorRegistry()
        self.pauses = self._counter("pauses", "Times that this process stood still.", ())
        self.server_ends = self._counter(
            "server_ends", "Backend servers that ended with requests of this instance.", ("sign",)
        )
        self.crashes = self._counter(
            "request_crashes",
            "Changes in what is known of servers that ended under requests.",
            ("learnt", "ends"),
        )

    def render(self) -> bytes:
        """Return all metrics as Prometheus reads them."""
        return generate_latest(self.registry)

    def _counter(self, name: str, text: str, labels: tuple[str, ...]) -> Counter:
        return keep_children(Counter(f"sparline_{name}", text, labels, registry=self.registry))

    def _gauge(self, name: str, text: str, labels: tuple[str, ...] = ()) -> Gauge:
        return Gauge(f"sparline_{name}", text, labels, registry=self.registry)
