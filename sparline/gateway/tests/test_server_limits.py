"""A backend server that names how many requests it takes gets no more, from all instances together."""

import gevent
import pytest

from sparline.tests.routed_fleet import RoutedFleet

# Nothing of it is shared with other requests, so that any engine is as good.
PROMPT = {"Model": "m", "Token-Counts": "400,50", "Prompt-Prefix": "cc:400"}
PLACES = ("north-1", "north-1", "north-1", "south-1")
LIMIT_PER_S = 2.0
WINDOW_MS = 4_000.0
# Requests that a limit allows in any window: half as many again, and a few that were under way.
MOST_IN_WINDOW = 1.5 * LIMIT_PER_S * WINDOW_MS / 1000 + 5
# By then every instance has had an answer that names the limit (s).
HEARD_S = 2.0
ASKING_S = 6.0
# Time between two requests of one caller (s).
PAUSE_S = 0.03


@pytest.fixture
def fleet():
    with RoutedFleet(PLACES) as one:
        one.add_server("e0", "engines", "north-1", events=3)
        one.add_server("e1", "engines", "north-1", events=3)
        yield one.ready()


def ask_on(fleet: RoutedFleet, at: str, seconds: float) -> list[int]:
    """Ask one instance again and again; return the statuses."""
    statuses = []
    with gevent.Timeout(seconds, False):
        while True:
            request_id = f"{at}-{len(statuses)}"
            statuses.append(fleet.ask("/stream/x", request_id, at, **PROMPT).status)
            gevent.sleep(PAUSE_S)
    return statuses


def most_in_window(at_ms: list[float]) -> int:
    return max((sum(at <= one < at + WINDOW_MS for one in at_ms) for at in at_ms), default=0)


def ask_everywhere(fleet: RoutedFleet, seconds: float) -> list[int]:
    asking = [gevent.spawn(ask_on, fleet, at, seconds) for at in fleet.gateways]
    gevent.joinall(asking, raise_error=True)
    return [status for one in asking for status in one.value]


def test_a_server_that_names_a_limit_gets_no_more_from_all_instances(fleet):
    limited = fleet.servers["e0"]
    limited.limit_per_s = LIMIT_PER_S
    ask_everywhere(fleet, HEARD_S)
    before = len(limited.runs)
    assert set(ask_everywhere(fleet, ASKING_S)) == {200}
    later = [run.at_ms for run in limited.runs[before:]]
    assert most_in_window(later) <= MOST_IN_WINDOW
    # It is used all the same.
    assert later
