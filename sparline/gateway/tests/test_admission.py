"""Tests of admission by level at instances: responses, misses and relayed requests."""

from dataclasses import replace
from unittest.mock import Mock

import pytest

from sparline._clock import now_ms
from sparline._ids import OrganisationId, RegionName
from sparline.decisions import KEYS_PER_RANK, OPEN_LEVEL
from sparline.fleet import AdmissionExchange, FleetState, LevelInForce, Members
from sparline.forwarding import CallerAnswer, EventSplitter, Progress, RequestEnd
from sparline.gateway._admission import (
    AdmissionGate,
    Admitted,
    Arrival,
    NotAdmitted,
)
from sparline.gateway._admission_sources import make_admission_sources
from sparline.gateway._metrics import GatewayMetrics
from sparline.gateway._rank_table import RankTable
from sparline.http import HttpRequest
from sparline.placement import Doubt, Placement, credit_of
from sparline.platform import parse_request_head
from sparline.quotas import quota_key
from sparline.requests import KnownCaller, Origin, Reason
from sparline.routes import KeyDigest, Organisation, make_organisations
from sparline.schema._gossip import AdmissionLevelNote, MemberNote, MemberPhase
from sparline.tests.routed import (
    ENGINES,
    make_request,
    make_route,
    make_rules,
    make_server,
)
from sparline.tests.routed_fleet import RoutedFleet
from standins import PROMPT, SealedFaults, configuration

NORTH, SOUTH = RegionName("north"), RegionName("south")
URGENT_ROUTE, LESS_URGENT_ROUTE = (
    make_route(path_start="/a/"),
    make_route(path_start="/b/", priority=2),
)
COST = credit_of(make_request().prompt)


class GateHarness:
    """An admission gate before servers in two regions; `now_s` is the wall-clock time."""

    def __init__(
        self, routes=(URGENT_ROUTE, LESS_URGENT_ROUTE), organisations=(), enabled=True
    ) -> None:
        self.now_s = 1_000_000.0
        self.fleet = FleetState(
            lambda _change: None,
            lambda: None,
            lambda: 1e9,
            {"north-1": NORTH, "south-1": SOUTH},
        )
        known = make_organisations(organisations) if organisations else None
        self.fleet.configuration = make_rules(*routes, organisations=known)
        for server in (make_server("n"), make_server("s", "south")):
            self.fleet.servers[server.id] = server
        self.fleet.index.note_change()
        ranks = RankTable(self.fleet, enabled)
        own = MemberNote("1.1.1.1", "own", 1, 1, MemberPhase.live, NORTH, "north-1")
        sources = make_admission_sources(self.fleet, ranks, lambda _service: None)
        self.exchange = AdmissionExchange(Members(own), sources)
        self.metrics = GatewayMetrics()
        self.gate = AdmissionGate(
            NORTH, self.fleet, ranks, self.exchange, self.metrics, lambda: self.now_s
        )

    def set_level(self, level: int, region: RegionName = NORTH, set_ms: int = 1) -> None:
        self.exchange.take_notes([AdmissionLevelNote(ENGINES, region, 0, level, 0, [], set_ms)])

    def admit(
        self, route=LESS_URGENT_ROUTE, body=b"x", origin=Origin.CALLER, key=None, caller=None
    ):
        headers = [(b"attempt-id", b"r"), (b"host", b"host.example"), (b"token-counts", b"400,50")]
        if key is not None:
            headers.append((b"sparline-admission-key", str(key).encode()))
        http = HttpRequest(b"POST", b"/a/1", headers, bytearray(body))
        marks = parse_request_head(http).unwrap()
        return self.gate.admit(Arrival(http, marks, route, ENGINES, caller, 3_000.0), origin)

    def counted(self) -> tuple[int, int, int]:
        """Return the admitted, missed and answered cost counted so far."""
        one = self.exchange._count(ENGINES)
        return one.admitted, one.missed, one.answered


def organisation(name: str, priority: int | None = None) -> Organisation:
    return Organisation(
        OrganisationId(name), frozenset({KeyDigest(name.encode())}), priority, frozenset(), None
    )


@pytest.mark.parametrize(
    ("harness", "level_applies"),
    [
        (GateHarness(), True),
        (GateHarness(enabled=False), False),
        (GateHarness(routes=(URGENT_ROUTE,)), False),
        (GateHarness(routes=(URGENT_ROUTE,), organisations=[organisation("a")]), False),
        (GateHarness(routes=(URGENT_ROUTE,), organisations=[organisation("a", 0)]), True),
    ],
)
def test_levels_apply_only_with_ranks_or_quotas(harness, level_applies):
    """Guards against changed behaviour in deployments without ranks and quotas."""
    admitted = harness.admit(URGENT_ROUTE)
    assert (admitted.key is not None) is level_applies
    request = make_request(admission_key=admitted.key, admission_level=admitted.level)
    harness.gate.note_start(request)
    assert harness.counted() == (COST if level_applies else 0, 0, 0)


def test_requests_of_less_urgent_rank_are_refused():
    harness = GateHarness()
    harness.set_level(KEYS_PER_RANK)
    harness.set_level(KEYS_PER_RANK, SOUTH)
    for number in range(50):
        assert isinstance(harness.admit(URGENT_ROUTE, b"%d" % number), Admitted)
        refused = harness.admit(LESS_URGENT_ROUTE, b"%d" % number)
        assert isinstance(refused, NotAdmitted)
        assert refused.retry_after_ms > 0
    metrics_text = harness.metrics.render().decode()
    assert 'sparline_admission_refusals_total{rank="2",service="engines"} 50.0' in metrics_text


def test_key_is_the_same_for_a_retry_and_differs_in_a_later_period():
    """Guards against callers that gain from an immediate retry or are refused forever."""
    first, second = GateHarness(), GateHarness()
    keys = [first.admit(body=b"%d" % number).key for number in range(64)]
    assert keys == [second.admit(body=b"%d" % number).key for number in range(64)]
    assert len(set(keys)) > 32
    first.now_s += 10.0
    assert sum(key != first.admit(body=b"%d" % n).key for n, key in enumerate(keys)) > 56


def test_request_is_admitted_to_regions_with_a_higher_level():
    harness = GateHarness()
    harness.set_level(KEYS_PER_RANK)
    admitted = harness.admit()
    assert admitted.closed_regions == {NORTH}
    # The region that serves the request counts it.
    assert admitted.level is None
    assert harness.counted() == (0, 0, 0)
    assert isinstance(
        harness.admit(replace(LESS_URGENT_ROUTE, allowed_regions=frozenset({NORTH}))), NotAdmitted
    )
    harness.set_level(OPEN_LEVEL, set_ms=2)
    harness.set_level(KEYS_PER_RANK, SOUTH)
    assert harness.admit().closed_regions == {SOUTH}


def test_relayed_request_is_compared_by_its_admission_key_header():
    harness = GateHarness()
    harness.set_level(KEYS_PER_RANK)
    assert harness.admit(origin=Origin.RELAY, key=KEYS_PER_RANK - 1).key == KEYS_PER_RANK - 1
    assert isinstance(harness.admit(origin=Origin.RELAY, key=KEYS_PER_RANK), NotAdmitted)
    # An instance without levels sends no key, a key may be out of range, and a caller's is ignored.
    assert harness.admit(origin=Origin.RELAY).key is None
    assert harness.admit(origin=Origin.RELAY, key=OPEN_LEVEL).key is None
    assert harness.admit(key=0).level is None


def test_organisation_beyond_its_fair_share_gets_step_1():
    caller = KnownCaller(1, organisation("a", 1), KeyDigest(b"a"))
    harness = GateHarness(organisations=[caller.organisation])
    level = LevelInForce(2_000, 0, {quota_key(caller.organisation.id): 32})
    harness.exchange.level = lambda _service, _region: level
    keys = [harness.admit(body=b"%d" % number, caller=caller).key for number in range(300)]
    # Two ranks are more urgent: priorities 0 and 0, and 1 of the organisation and 0 of a route.
    assert {key // KEYS_PER_RANK for key in keys} == {2}
    assert all((key % 256 >= 128) == (key % 128 >= 32) for key in keys)


def test_request_beyond_its_quota_counts_as_neither_asked_nor_admitted():
    """Guards against admission levels that count requests refused by their quota."""
    harness = GateHarness()
    harness.admit()
    assert harness.exchange._counted == {}


def make_end(reason: Reason, **progress) -> RequestEnd:
    state = Progress(EventSplitter(None), CallerAnswer(Mock()), **progress)
    return RequestEnd(503, reason, False, None, None, state)


ENDS = [
    (make_end(Reason.DEADLINE_UNREACHABLE), True),
    (make_end(Reason.PEER_NO_ROOM), True),
    (make_end(Reason.BACKEND_REFUSED, sends=1, sends_not_run=1), True),
    (make_end(Reason.RETRY_BUDGET, sends=1, sends_not_run=1), True),
    (make_end(Reason.RETRY_BUDGET, sends=1), False),
    (make_end(Reason.DEADLINE_PASSED, sends=1), True),
    (make_end(Reason.DEADLINE_PASSED, sends=1, may_have_run=True), False),
    (make_end(Reason.BACKEND_FAILED, sends=1, may_have_run=True), False),
    (make_end(Reason.BROKEN_BEFORE_ANSWER, sends=1, may_have_run=True), False),
    (make_end(Reason.NO_BACKEND), False),
    (make_end(Reason.CALLER_GONE), False),
    (make_end(Reason.KEY_WITHDRAWN), False),
    (make_end(Reason.NONE, first_at_ms=1.0), False),
]


@pytest.mark.parametrize(("end", "is_missed"), ENDS)
def test_only_lack_of_capacity_counts_as_missed(end, is_missed):
    """Guards against levels that fall because servers fail or callers disconnect."""
    harness = GateHarness()
    harness.gate.note_end(make_request(admission_key=0, admission_level=OPEN_LEVEL), end)
    # Other failures count as answered, because they do not indicate a queue.
    counts_as_answered = not is_missed and end.progress.first_at_ms is None
    counted = (0, COST if is_missed else 0, COST if counts_as_answered else 0)
    assert harness.counted() == counted
    harness.gate.note_end(make_request(), end)
    assert harness.counted() == counted


@pytest.mark.parametrize(
    ("first_ms", "prefill_ms", "failed_before", "is_missed"),
    [
        (700.0, 100.0, False, False),
        (900.0, 100.0, False, True),
        (900.0, 100.0, True, False),
        # Most of the time is spent on the prefill of the prompt itself.
        (1_500.0, 1_000.0, False, False),
        (1_900.0, 1_000.0, False, True),
    ],
)
def test_late_first_event_counts_as_missed(first_ms, prefill_ms, failed_before, is_missed):
    harness = GateHarness()
    request = make_request(
        admission_key=0, admission_level=OPEN_LEVEL, arrived_at_ms=now_ms() - first_ms
    )
    place = Placement(
        make_server("n"), None, 100.0, prefill_ms, 400, 400, None, 0.0, None, None, Doubt.NONE
    )
    progress = Progress(EventSplitter(None), CallerAnswer(Mock()), may_have_run=failed_before)
    progress.first_at_ms = request.arrived_at_ms + first_ms
    harness.gate.note_first(request, place, progress)
    assert harness.counted() == (0, COST if is_missed else 0, COST)


def test_miss_admitted_under_a_higher_level_is_not_reported():
    """Guards against a level that falls again because of requests admitted before it fell."""
    harness = GateHarness()
    harness.set_level(KEYS_PER_RANK)
    request = make_request(admission_key=600, admission_level=OPEN_LEVEL)
    harness.gate.note_end(request, make_end(Reason.PEER_NO_ROOM))
    assert harness.counted() == (0, 0, 0)


RANKED = {"/stream/": {"kind": "streaming", "allow_resume": True, "max_attempts": 2, "priority": 0}}
LESS_URGENT = {
    "/usual/": {"kind": "streaming", "allow_resume": True, "max_attempts": 2, "priority": 3}
}


@pytest.fixture
def fleet():
    with RoutedFleet(("north-1", "south-1")) as one:
        one.add_server("e1", "engines", events=2)
        one.add_server("e2", "engines", "south-1", events=2)
        one.store.put("op/config", configuration(1, RANKED | LESS_URGENT))
        one.until(one.is_ready, "all are ready")
        yield one


def set_level(fleet: RoutedFleet, name: str, region: str, level: int) -> None:
    note = AdmissionLevelNote(ENGINES, region, 0, level, 0, [], round(now_ms()))
    fleet.gateways[name].admission_exchange.take_notes([note])


def test_refused_caller_gets_retry_after_and_nothing_runs(fleet):
    for region in ("north", "south"):
        set_level(fleet, "g0", region, KEYS_PER_RANK)
    refused = fleet.ask("/usual/x", "r1", body=b"a", **PROMPT)
    assert refused.status == 503
    assert float(refused.headers["retry-after"]) > 0
    assert fleet.runs() == []
    assert fleet.ask("/stream/x", "r2", body=b"a", **PROMPT).status == 200
    # The caller of a resumed stream already has part of the answer.
    assert fleet.ask("/usual/x", "r3", body=b"a", **PROMPT, **{"Last-Event-Id": "1"}).status == 200


def test_other_region_serves_requests_refused_by_the_own_level(fleet):
    set_level(fleet, "g0", "north", KEYS_PER_RANK)
    assert fleet.ask("/usual/x", "r1", body=b"a", **PROMPT).status == 200
    (run,) = fleet.servers["e2"].runs
    assert not any(name.startswith("sparline-") for name in run.headers)
    # The other region compares by its own level.
    set_level(fleet, "g1", "south", KEYS_PER_RANK)
    assert fleet.ask("/usual/x", "r2", body=b"a", **PROMPT).status == 503


def test_refusing_servers_lower_the_level(fleet):
    for server in fleet.servers.values():
        server.faults = SealedFaults(refuse=True)
    exchange = fleet.gateways["g0"].admission_exchange

    def is_closed() -> bool:
        fleet.ask("/usual/x", f"r{now_ms()}", body=b"%f" % now_ms(), **PROMPT)
        return exchange.level(ENGINES, NORTH).level < OPEN_LEVEL

    fleet.until(is_closed, "the level is closed")
