"""A gateway sends no requests to a backend server until the Retry-After of its refusal expires."""

import gevent
import pytest

from sparline.tests.routed_fleet import RoutedFleet
from standins import SealedFaults

# A prompt of a single part has no reusable prefix, so no engine is preferred.
PROMPT = {"Model": "m", "Token-Counts": "400,50", "Prompt-Prefix": "cc:400"}
RETRY_AFTER_S = 3.0
# Does not expire during a test, even on a slow machine (s).
LONG_RETRY_AFTER_S = 120.0
# Requests in flight when the first refusal arrives reach the server within this time (ms).
IN_FLIGHT_MS = 500.0
# Upper limit on requests to the server after that, until Retry-After expires.
MAX_REQUESTS_IN_BACKOFF = 2
CALLERS = 3


@pytest.fixture
def fleet():
    with RoutedFleet(("north-1", "south-1")) as routed_fleet:
        routed_fleet.add_server("e0", "engines", events=2)
        routed_fleet.add_server("e1", "engines", events=2)
        routed_fleet.ready()
        # Gateways make almost no retries before the retry budget is shared out.
        members = routed_fleet.gateways["g0"].members
        routed_fleet.until(members.are_sharers_settled, "the retry budget is shared out")
        yield routed_fleet


def send_requests(fleet: RoutedFleet, caller: int, seconds: float) -> list[int]:
    statuses = []
    with gevent.Timeout(seconds, False):
        while True:
            request_id = f"{caller}-{len(statuses)}"
            statuses.append(fleet.ask("/stream/x", request_id, **PROMPT).status)
            gevent.sleep(0.02)
    return statuses


def refuse_with_retry_after(fleet: RoutedFleet, name: str) -> None:
    fleet.servers[name].faults = SealedFaults(refuse=True)
    fleet.servers[name].rest_s = RETRY_AFTER_S


def test_server_gets_no_requests_until_retry_after_expires(fleet):
    refuse_with_retry_after(fleet, "e0")
    callers = [gevent.spawn(send_requests, fleet, one, RETRY_AFTER_S) for one in range(CALLERS)]
    gevent.joinall(callers, raise_error=True)
    arrived = fleet.servers["e0"].refused_at_ms
    assert arrived
    later = [
        at for at in arrived if arrived[0] + IN_FLIGHT_MS < at < arrived[0] + RETRY_AFTER_S * 1000
    ]
    assert len(later) <= MAX_REQUESTS_IN_BACKOFF
    assert {status for one in callers for status in one.value} == {200}


def test_server_is_used_again_after_retry_after_expires(fleet):
    refuse_with_retry_after(fleet, "e0")
    e0 = fleet.servers["e0"]
    fleet.until(
        lambda: bool(send_requests(fleet, 0, 0.1)) and bool(e0.refused_at_ms),
        "e0 refuses a request",
    )
    e0.faults = SealedFaults()
    fleet.until(
        lambda: bool(send_requests(fleet, 1, 0.1)) and bool(e0.runs), "e0 runs a request again"
    )
    assert e0.runs[0].at_ms - e0.refused_at_ms[-1] >= RETRY_AFTER_S * 1000 - IN_FLIGHT_MS


def test_callers_are_refused_with_retry_after_while_all_servers_are_in_backoff(fleet):
    for name in ("e0", "e1"):
        refuse_with_retry_after(fleet, name)
        fleet.servers[name].rest_s = LONG_RETRY_AFTER_S
    fleet.ask("/stream/x", "first", **PROMPT)
    servers = fleet.servers.values()
    refused = sum(len(one.refused_at_ms) for one in servers)
    assert refused == 2
    got = fleet.ask("/stream/x", "second", **PROMPT)
    assert got.status == 503
    assert 0 < float(got.headers["retry-after"]) <= LONG_RETRY_AFTER_S
    assert sum(len(one.refused_at_ms) for one in servers) == refused
