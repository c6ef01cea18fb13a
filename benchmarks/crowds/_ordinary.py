"""Requests inside the limits, from callers who keep to what the users' pages say."""

import gevent

from benchmarks.crowds._site import CROWD_TARGET, MAX_BODY_BYTES, ORDINARY_TARGET
from benchmarks.gateway_fleet import GatewayFleet
from sparline._clock import now_ms
from standins import Got

REFUSED = 503
# Wait before the next try where an answer names none (s).
DEFAULT_RETRY_S = 0.1
# Far bound of all tries (ms).
MAX_WAIT_MS = 90_000.0
NO_ANSWER = Got(0, {}, b"", False)


def answer_to_ordinary_request(fleet: GatewayFleet, name: str, label: str) -> int:
    """Return the status of a small request, asked again under new ids while it is refused.

    A connection that is closed without an answer counts as a refusal.
    """
    began_ms = now_ms()
    tries = 0
    while True:
        got = _ask(fleet, name, ORDINARY_TARGET, f"{label}-{tries}", b"abc")
        is_refused = got.status in (REFUSED, NO_ANSWER.status)
        if not is_refused or now_ms() - began_ms > MAX_WAIT_MS:
            return got.status
        tries += 1
        gevent.sleep(float(got.headers.get("retry-after", DEFAULT_RETRY_S)))


def ask_with_full_body(fleet: GatewayFleet, name: str, count: int) -> list[int]:
    """Return the statuses of requests with a body of the full legal size, sent at once."""
    body = b"x" * MAX_BODY_BYTES
    tasks = [
        gevent.spawn(_ask, fleet, name, CROWD_TARGET, f"full-{number}", body)
        for number in range(count)
    ]
    gevent.joinall(tasks)
    return [one.value.status for one in tasks]


def _ask(fleet: GatewayFleet, name: str, target: str, request_id: str, body: bytes) -> Got:
    try:
        caller = fleet.caller(name)
    except OSError:
        return NO_ANSWER
    try:
        caller.send(target, request_id, body)
        return caller.read()
    except OSError:
        return NO_ANSWER
    finally:
        caller.close()
