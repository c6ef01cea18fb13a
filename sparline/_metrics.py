"""Counters and gauges of one instance."""

from prometheus_client import Histogram

from sparline._metrics_registry import MetricsRegistry

TTFT_BUCKETS_S = (0.01, 0.02, 0.05, 0.1, 0.2, 0.31, 0.5, 1, 2, 5, 10, 30)


class Metrics(MetricsRegistry):
    """Hold all metrics of one instance; labels never carry a key or a prompt."""

    def __init__(self) -> None:
        """Register every metric in a registry of its own."""
        super().__init__()
        self.requests = self._counter("requests", "Requests by outcome.", ("kind", "outcome"))
        self.refusals = self._counter("refusals", "Requests refused as not run.", ("reason",))
        self.unknowns = self._counter("unknowns", "Requests of unknown outcome.", ("reason",))
        self.retries = self._counter("retries", "Attempts after the first.", ("reason",))
        self.attempts = self._counter("attempts", "Attempts by place.", ("place",))
        self.relayed = self._counter(
            "relayed", "Relayed requests taken.", ("from_region", "verdict")
        )
        self.sent_away = self._counter("sent_away", "Requests sent to another zone.", ("region",))
        self.wide_area_bytes = self._counter(
            "wide_area_bytes", "Relay bytes between regions.", ("region",)
        )
        self.control_messages = self._counter(
            "control_messages", "Control messages.", ("channel", "direction")
        )
        self.control_bytes = self._counter(
            "control_bytes", "Bytes of control messages.", ("channel", "direction")
        )
        self.platform_calls = self._counter(
            "platform_calls", "Calls of the platform.", ("service", "result")
        )
        self.records = self._counter(
            "records", "Records offered to the store.", ("source", "verdict")
        )
        self.peer_events = self._counter(
            "peer_events", "Links opened, lost and refused.", ("event",)
        )
        self.stale_summaries = self._counter(
            "stale_summaries", "Zone summaries refused as old.", ("cause",)
        )
        self.orders = self._counter("orders", "Orders to engines.", ("kind", "result"))
        self.limit_grants = self._counter(
            "limit_grants", "Shares given by this instance.", ("view",)
        )
        self.in_flight = self._gauge("in_flight", "Requests in flight here.")
        self.waiting = self._gauge("waiting", "Requests that wait for room here.")
        self.peers = self._gauge("peers", "Peers with a live link.")
        self.ttft = Histogram(
            "sparline_ttft_seconds",
            "Time to the first token.",
            ("length",),
            registry=self.registry,
            buckets=TTFT_BUCKETS_S,
        )
