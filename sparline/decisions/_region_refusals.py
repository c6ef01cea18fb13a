"""Regions that are skipped for short requests because they have just rejected a similar one.

Guards against useless relaying while all regions are full. The known load of another region is a
second old, and an engine there that had worked off its queue by then looks idle: each request would
be relayed there and rejected a tenth of a second later. Only the load of short requests is reported
that late; long prefills are reported at once.
"""

from sparline._ids import RegionName
from sparline.routes import ServiceName

# Time for which a region that had no room for a short request is taken to have none for others
# (ms): a few batches of its engines, and less than its load reports take to arrive.
REFUSAL_TTL_MS = 150.0
# Prompts up to this length are short (tokens): a batch prefills one in a few ms.
MAX_SHORT_TOKENS = 1_000


class RegionRefusals:
    """Remembers what other regions rejected; the caller passes the current time in (`now`, ms).

    Lower priority numbers are more urgent, as in `RoutedRequest`. A region without room for a
    request may have some for a more urgent one.
    """

    def __init__(self) -> None:
        """Start with no rejections."""
        # End of the time for which a region counts as full (ms), by the priority that it rejected.
        self._full_until_ms: dict[tuple[RegionName, ServiceName], dict[int, float]] = {}

    def note(
        self, region: RegionName, service: ServiceName, priority: int, tokens: int, now: float
    ) -> None:
        """Record that no server of a region accepted a request for a service."""
        if tokens <= MAX_SHORT_TOKENS:
            refused = self._full_until_ms.setdefault((region, service), {})
            refused[priority] = now + REFUSAL_TTL_MS

    def is_full(
        self, region: RegionName, service: ServiceName, priority: int, tokens: int, now: float
    ) -> bool:
        """Tell whether a region recently rejected a short request that was at least as urgent.

        A long request is never held back.
        """
        if tokens > MAX_SHORT_TOKENS:
            return False
        refused = self._full_until_ms.get((region, service), {})
        return any(
            now < until_ms and priority >= refused_priority
            for refused_priority, until_ms in refused.items()
        )
