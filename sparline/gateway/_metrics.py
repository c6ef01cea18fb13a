"""Counters, gauges and histograms of a gateway instance."""

from prometheus_client import Histogram

from sparline._metrics_registry import MetricsRegistry, keep_children

# Bucket bounds (s), densest where the target latencies of operators lie, 0.35 to 1.3 s.
LATENCY_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 0.8, 1.0, 1.3, 2, 4, 8)


class GatewayMetrics(MetricsRegistry):
    """Hold all metrics of an instance; labels contain no request ids and no prompts."""

    def __init__(self) -> None:
        """Register all metrics in a new registry."""
        super().__init__()
        self.requests = self._counter("requests", "Requests by end.", ("origin", "status"))
        self.refusals = self._counter("refusals", "Requests answered here.", ("reason",))
        self.quota_refusals = self._counter(
            "quota_refusals", "Requests over their organisation's quota.", ("organisation",)
        )
        self.admission_level = self._gauge(
            "admission_level", "Lowest admission key that is refused, 2560 for none.", ("service",)
        )
        self.admission_refusals = self._counter(
            "admission_refusals", "Requests refused by the admission level.", ("service", "rank")
        )
        self.admission_missed = self._counter(
            "admission_missed",
            "Admitted requests refused for lack of capacity, or late.",
            ("service", "rank"),
        )
        self.quotas_kept = self._gauge("quotas_kept", "Quotas whose account is kept here.")
        self.retries = self._counter("retries", "Sends after the first.", ("reason",))
        self.refused_retries = self._counter(
            "refused_retries", "Sends after the first that the retry budget did not allow.", ()
        )
        self.resumptions = self._counter(
            "resumed_streams",
            "Streams that callers resume, by who knew their version.",
            ("source",),
        )
        self.interrupted_answers = self._counter(
            "answers_broken", "Answers that broke off.", ("reason",)
        )
        self.cut_answers = self._counter(
            "cut_answers",
            "Answers that ended here before they were whole, by what had been sent.",
            ("content",),
        )
        self.dropped_answers = self._counter(
            "dropped_answers", "Answers to other requests that came before the awaited one.", ()
        )
        self.cut_by_exit = self._counter(
            "cut_by_exit", "Requests in flight as the process exited.", ()
        )
        self.unframed_answers = self._counter(
            "unframed_answers", "Answers that only their connection ended.", ("end",)
        )
        self.evicted_suspects = self._counter(
            "suspects_pushed_out", "Suspects forgotten for want of room.", ()
        )
        self.quarantined = self._gauge("quarantined_requests", "Requests that are sent nowhere.")
        self.quarantined_parts = self._gauge(
            "quarantined_parts", "Parts of prompts with which requests are sent nowhere."
        )
        self.part_exits = self._counter(
            "part_exits",
            "Changes in what is known of servers that exited under parts.",
            ("learnt",),
        )
        self.sends = self._counter("sends", "Sends by place.", ("place",))
        self.cold_sends = self._counter("cold_sends", "Sends to cold backend servers.", ())
        self.limit_changes = self._counter(
            "server_limit_changes", "Limits that backend servers named, changed or lifted.", ("to",)
        )
        self.limited_servers = self._gauge(
            "limited_servers", "Backend servers whose answers name a limit."
        )
        self.refusal_limited = self._gauge(
            "refusal_limited_servers", "Backend servers whose answers limit refusals."
        )
        self.store_calls = self._counter("store_calls", "Calls of the store.", ("call", "result"))
        self.bad_items = self._counter("bad_items", "Items of the store not understood.", ())
        self.store_copies = self._counter("store_copies", "Copies of the store.", ("result",))
        self.connections = self._counter("connections", "Connections to backend servers.", ())
        self.lines_left_out = self._gauge("log_lines_left_out", "Log lines not written.")
        self.memory_limit = self._gauge("memory_limit_bytes", "Memory that the process may use.")
        self.held_bytes = self._gauge(
            "held_bytes", "Bytes of longer or unfinished bodies held for callers and peers."
        )
        self.callers_connections = self._gauge(
            "callers_connections", "Connections of callers that are open."
        )
        self.closed_connections = self._counter(
            "closed_connections", "Callers' connections closed for want of descriptors.", ("why",)
        )
        self.unfinished_bodies = self._gauge("unfinished_bodies", "Bodies that are being read.")
        self.descriptor_limit = self._gauge(
            "file_descriptor_limit", "File descriptors that the process may have open."
        )
        self.in_flight = self._gauge("in_flight", "Requests in flight here.")
        self.members = self._gauge("members", "Other instances that are live.")
        self.region_sharers = self._gauge(
            "region_sharers", "Instances of this region that bounds are shared out among."
        )
        self.region_settled = self._gauge(
            "region_settled", "Whether those have been the same for long enough to share."
        )
        self.isolated = self._gauge(
            "isolated", "Whether this instance reaches no backend server of its region."
        )
        self.store_revision = self._gauge("store_revision", "Revision of the store held here.")
        self.store_era = self._gauge("store_era", "Era of the store held here.")
        self.configuration_version = self._gauge("configuration_version", "Version in force.")
        self.first_s = self._histogram("first_seconds", "Time to the first event or answer.")
        self.total_s = self._histogram("total_seconds", "Time to the end of the answer.")

    def _histogram(self, name: str, text: str) -> Histogram:
        return keep_children(
            Histogram(
                f"sparline_{name}",
                text,
                ("kind",),
                registry=self.registry,
                buckets=LATENCY_BUCKETS_S,
            )
        )
