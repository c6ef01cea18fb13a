"""All instances together keep to the request rate limit that a backend server sets."""

import gevent
import pytest

from sparline.tests.routed_fleet import RoutedFleet

# No prompt prefix is shared with other requests, so that no engine is preferred.
PROMPT = {"Model": "m", "Token-Counts": "400,50", "Prompt-Prefix": "cc:400"}
GATEWAY_ZONES = ("north-1", "north-1", "north-1", "south-1")
LIMIT_PER_S = 2.0
WINDOW_MS = 4_000.0
# Requests allowed in any window: 1.5 times the limit, and a few in flight.
MAX_IN_WINDOW = 1.5 * LIMIT_PER_S * WINDOW_MS / 1000 + 5
# Time within which every instance learns the limit (s).
WARM_UP_S = 2.0
MEASURED_S = 6.0
# Time between two requests to one instance (s).
REQUEST_INTERVAL_S = 0.03


@pytest.fixture
def fleet():
    with RoutedFleet(GATEWAY_ZONES) as one:
        one.add_server("e0", "engines", "north-1", events=3)
        one.add_server("e1", "engines", "north-1", events=3)
        yield one.ready()


def send_to_instance(fleet: RoutedFleet, at: str, seconds: float) -> list[int]:
    """Send requests to one instance one after another; return the statuses."""
    statuses = []
    with gevent.Timeout(seconds, False):
        while True:
            request_id = f"{at}-{len(statuses)}"
            statuses.append(fleet.ask("/stream/x", request_id, at, **PROMPT).status)
            gevent.sleep(REQUEST_INTERVAL_S)
    return statuses


def max_in_window(at_ms: list[float]) -> int:
    return max((sum(at <= one < at + WINDOW_MS for one in at_ms) for at in at_ms), default=0)


def send_to_all_instances(fleet: RoutedFleet, seconds: float) -> list[int]:
    senders = [gevent.spawn(send_to_instance, fleet, at, seconds) for at in fleet.gateways]
    gevent.joinall(senders, raise_error=True)
    return [status for one in senders for status in one.value]


def test_all_instances_together_keep_to_a_servers_limit(fleet):
    limited = fleet.servers["e0"]
    limited.limit_per_s = LIMIT_PER_S
    send_to_all_instances(fleet, WARM_UP_S)
    warm_up_count = len(limited.runs)
    assert set(send_to_all_instances(fleet, MEASURED_S)) == {200}
    sent_at_ms = [run.at_ms for run in limited.runs[warm_up_count:]]
    assert max_in_window(sent_at_ms) <= MAX_IN_WINDOW
    # Guards against excluding a limited server altogether.
    assert sent_at_ms
