"""A registry of counters and gauges with the project's prefix."""

from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest


class MetricsRegistry:
    """Make metrics and render them."""

    def __init__(self) -> None:
        """Start with a registry of its own."""
        self.registry = CollectorRegistry()

    def render(self) -> bytes:
        """Return all metrics as Prometheus reads them."""
        return generate_latest(self.registry)

    def _counter(self, name: str, text: str, labels: tuple[str, ...]) -> Counter:
        return Counter(f"sparline_{name}", text, labels, registry=self.registry)

    def _gauge(self, name: str, text: str) -> Gauge:
        return Gauge(f"sparline_{name}", text, registry=self.registry)
