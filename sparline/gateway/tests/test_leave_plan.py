import pytest

from sparline.gateway import _leave_plan
from sparline.gateway._leave_plan import LeavePlan
from sparline.requests import Prompt
from sparline.routes import RequestKind
from sparline.tests.routed import make_route

GRACE_MS = 8_000.0
STREAM = make_route(kind=RequestKind.STREAM, target_latency_ms=1_000, timeout_ms=8_000)
PLAIN = make_route(kind=RequestKind.UNSAFE, target_latency_ms=400, timeout_ms=1_200)

ROWS = [
    ("a long answer at once", STREAM, Prompt(17_000, 120, ()), 0, True),
    ("a long answer while there is time", STREAM, Prompt(17_000, 120, ()), 4_000, True),
    ("a very long answer half way", STREAM, Prompt(17_000, 400, ()), 4_200, False),
    ("a long answer near the end", STREAM, Prompt(17_000, 120, ()), 6_000, False),
    ("a short answer near the end", STREAM, Prompt(300, 20, ()), 6_000, True),
    ("a plain one near the end", PLAIN, None, 6_000, True),
    ("a plain one after the last moment", PLAIN, None, 6_300, False),
]


@pytest.mark.parametrize(
    ("route", "prompt", "at_ms", "taken"), [row[1:] for row in ROWS], ids=[row[0] for row in ROWS]
)
def test_a_leaving_instance_takes_what_it_can_end(monkeypatch, route, prompt, at_ms, taken):
    plan = LeavePlan(0.0, GRACE_MS)
    monkeypatch.setattr(_leave_plan, "now_ms", lambda: float(at_ms))
    assert plan.takes(route, prompt) is taken
