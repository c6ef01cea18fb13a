"""Table tests of routing decisions, free capacity, zone summaries and capacity shares."""

import random
from dataclasses import replace

import pytest

from sparline._ids import InstanceId, ZoneName
from sparline.relay.tests.test_sender import make_request
from sparline.requests import Length, Origin, Request
from sparline.routing import (
    BackendState,
    Candidates,
    CandidateVerdict,
    EstimatePolicy,
    LocalCandidate,
    Refuse,
    RelayToZone,
    RemoteCandidate,
    RunLocally,
    SpareCapacity,
    WaitLocally,
    best_local,
    prefix_keys,
)
from sparline.routing._estimate import LocalEstimate, ZoneView, has_room
from sparline.routing._load_table import QueueDepth
from sparline.routing._summaries import SummaryTable, SummaryVerdict
from sparline.schema._declarations import Objective
from sparline.schema._fleet import FleetMember
from sparline.schema._messages import BackendLoad, InstanceState, MemberBrief, ZoneSummary

USABLE, NO_ROOM, NO_SHARE = (
    CandidateVerdict.USABLE,
    CandidateVerdict.NO_ROOM,
    CandidateVerdict.NO_SHARE,
)
TAIL, COST = Objective.tail_latency, Objective.cost


def backend(name: str = "e") -> BackendState:
    return BackendState(
        FleetMember(
            id=name,
            role="engine",
            region="north",
            availability_zone="zone-a",
            ip="127.0.0.1",
            port=1,
            incarnation="-",
            state="live",
        )
    )


def local(
    wait_ms: float, verdict: CandidateVerdict = USABLE, name: str = "e", saving_ms: float = 0.0
) -> LocalCandidate:
    estimate = LocalEstimate(
        backend(name), wait_ms, wait_ms + 20, wait_ms + 100, saving_ms, verdict is USABLE
    )
    return LocalCandidate(estimate, 1.0, verdict)


def remote(
    ttft_ms: float, verdict: CandidateVerdict = USABLE, zone: str = "zone-b", cost: float = 1.0
) -> RemoteCandidate:
    return RemoteCandidate(
        "south", ZoneName(zone), InstanceId("b-0"), ttft_ms, ttft_ms + 80, cost, verdict
    )


DECISIONS = [
    # name, local candidates, remote candidates, objective, deadline in ms, decision
    ("free slot in local zone", [local(0)], [remote(5)], TAIL, 1000, RunLocally),
    ("short wait: stays local", [local(100, NO_ROOM)], [remote(40)], TAIL, 1000, WaitLocally),
    ("long wait: relayed", [local(400, NO_ROOM)], [remote(40)], TAIL, 1000, RelayToZone),
    ("long wait, remote no better", [local(400, NO_ROOM)], [remote(390)], TAIL, 1000, WaitLocally),
    ("long wait, remote share used up", [local(400, NO_ROOM)], [remote(40, NO_SHARE)], TAIL, 1000, WaitLocally),
    ("cost objective waits longer", [local(400, NO_ROOM)], [remote(40)], COST, 4000, WaitLocally),
    ("cost objective, wait too long", [local(1400, NO_ROOM)], [remote(40)], COST, 4000, RelayToZone),
    ("deadline met only remotely", [local(950, NO_ROOM)], [remote(40)], COST, 1000, RelayToZone),
    ("deadline met nowhere", [local(950, NO_ROOM)], [remote(950)], TAIL, 1000, Refuse),
    ("no local candidate", [], [remote(40)], COST, 1000, RelayToZone),
    ("no candidate", [], [], TAIL, 1000, Refuse),
    ("only a remote zone with its share used up", [], [remote(40, NO_SHARE)], TAIL, 1000, Refuse),
    ("remote region not allowed", [local(400, NO_ROOM)], [remote(1, CandidateVerdict.NOT_ALLOWED)], TAIL, 1000, WaitLocally),
    ("already relayed", [local(400, NO_ROOM)], [remote(1, CandidateVerdict.RELAYED)], TAIL, 1000, WaitLocally),
]  # fmt: skip


@pytest.mark.parametrize(
    ("name", "local_candidates", "remote_candidates", "objective", "deadline_ms", "wanted"),
    DECISIONS,
    ids=[row[0] for row in DECISIONS],
)
def test_decision(
    name: str,
    local_candidates: list,
    remote_candidates: list,
    objective: Objective,
    deadline_ms: float,
    wanted: type,
) -> None:
    request = make_request(repeatable=True, deadline_ms=deadline_ms)
    decision = EstimatePolicy().decide(
        request, Candidates(tuple(local_candidates), tuple(remote_candidates), objective, 310)
    )
    assert isinstance(decision, wanted), decision
    assert not isinstance(decision, Refuse) or decision.retry_after_ms >= 100


def test_cost_objective_chooses_the_cheaper_zone() -> None:
    remote_candidates = (remote(40, zone="expensive", cost=2.0), remote(60, zone="cheap", cost=1.0))
    decision = EstimatePolicy().decide(
        make_request(True), Candidates((), remote_candidates, COST, 310)
    )
    assert decision.candidate.zone == "cheap"


RELAYED = [
    # name, local candidates, whether a relayed request is accepted
    ("free slot", [local(0)], True),
    ("short wait", [local(150, NO_ROOM)], True),
    ("long wait", [local(250, NO_ROOM)], False),
    ("no local candidate", [], False),
]


@pytest.mark.parametrize(
    ("name", "local_candidates", "taken"), RELAYED, ids=[row[0] for row in RELAYED]
)
def test_receiving_zone_accepts_or_refuses_relayed_request(
    name: str, local_candidates: list, taken: bool
) -> None:
    request = replace(make_request(True, 2000), origin=Origin.RELAY)
    assert (
        EstimatePolicy().accepts_relayed(
            request, Candidates(tuple(local_candidates), (), TAIL, 310)
        )
        is taken
    )


AFFINITY = [
    # name, local candidates, chosen backend server
    ("prefix cached", [local(0, name="a"), local(10, name="b", saving_ms=100)], "b"),
    ("cached, but long wait", [local(0, name="a"), local(200, name="b", saving_ms=100)], "a"),
]


@pytest.mark.parametrize(
    ("name", "local_candidates", "chosen"), AFFINITY, ids=[row[0] for row in AFFINITY]
)
def test_prompts_with_a_shared_prefix_stay_together(
    name: str, local_candidates: list, chosen: str
) -> None:
    request = replace(make_request(True), prefix_keys=(1,))
    best = best_local(request, Candidates(tuple(local_candidates), (), TAIL, 310))
    assert best.estimate.backend.member.id == chosen


ROOM = [
    # name, length, in flight, long ones of these, siblings' in flight, queue, room in 4 slots for 2 instances
    ("empty", Length.SHORT, 0, 0, 0, QueueDepth(0, 0), True),
    ("filled by siblings, own share free", Length.SHORT, 1, 0, 4, QueueDepth(0, 0), True),
    ("filled by siblings, own share used", Length.SHORT, 2, 0, 4, QueueDepth(0, 0), False),
    ("last slot reserved for a waiting long request", Length.SHORT, 3, 0, 0, QueueDepth(0, 1), False),
    ("no slot reserved while a long request runs", Length.SHORT, 3, 1, 0, QueueDepth(0, 1), True),
    ("long request, empty engine", Length.LONG, 0, 0, 0, QueueDepth(0, 0), True),
    ("long requests leave a slot free", Length.LONG, 3, 3, 0, QueueDepth(0, 0), False),
    ("long request waits for short ones", Length.LONG, 2, 1, 0, QueueDepth(1, 0), False),
    ("long request in the slot reserved for it", Length.LONG, 3, 0, 0, QueueDepth(1, 0), True),
]  # fmt: skip


@pytest.mark.parametrize(
    ("name", "length", "own", "own_long", "others", "queue", "room"),
    ROOM,
    ids=[row[0] for row in ROOM],
)
def test_room(
    name: str, length: Length, own: int, own_long: int, others: int, queue: QueueDepth, room: bool
) -> None:
    state = backend()
    state.own_in_flight, state.own_long = own, own_long
    state.siblings = {InstanceId("s"): (float("inf"), BackendLoad("e", others, 0, 0, None))}
    request: Request = replace(make_request(True), length=length)
    assert has_room(request, state, 4, ZoneView(2, queue, 0.0)) is room


def summary(
    reporter: str, sequence: int, age_ms: int, uptimes: dict[str, int], incarnation: str = "1"
) -> ZoneSummary:
    members = [
        MemberBrief(
            name, incarnation if name == reporter else "1", InstanceState.live, uptime, False
        )
        for name, uptime in uptimes.items()
    ]
    return ZoneSummary("south", "zone-b", reporter, incarnation, sequence, age_ms, members, [])


SUMMARIES = [
    # name, stored, received, verdict
    ("next sequence, same reporter", summary("b-0", 1, 0, {"b-0": 100}), summary("b-0", 2, 0, {"b-0": 200}), "newer"),
    ("duplicate", summary("b-0", 2, 0, {"b-0": 200}), summary("b-0", 2, 50, {"b-0": 200}), "old_sequence"),
    ("out of order", summary("b-0", 2, 0, {"b-0": 200}), summary("b-0", 1, 0, {"b-0": 100}), "old_sequence"),
    ("reporter restarted", summary("b-0", 9, 500, {"b-0": 900}), summary("b-0", 1, 0, {"b-0": 1}, "2"), "newer"),
    ("new reporter that knows the previous one's progress", summary("b-0", 9, 900, {"b-0": 900, "b-1": 900}), summary("b-1", 1, 0, {"b-0": 1500, "b-1": 1500}), "newer"),
    ("new reporter after a process pause", summary("b-0", 9, 900, {"b-0": 900, "b-1": 300}), summary("b-1", 5, 0, {"b-0": 300, "b-1": 1500}), "old_members"),
    ("new reporter without the previous one", summary("b-0", 9, 900, {"b-0": 900, "b-1": 900}), summary("b-1", 1, 0, {"b-1": 2000}), "newer"),
    ("new reporter, but older", summary("b-0", 9, 0, {"b-0": 900}), summary("b-1", 1, 5000, {"b-1": 2000}), "old_age"),
]  # fmt: skip


@pytest.mark.parametrize(
    ("name", "stored", "received", "verdict"), SUMMARIES, ids=[row[0] for row in SUMMARIES]
)
def test_outdated_summary_does_not_replace_newer(
    name: str, stored: ZoneSummary, received: ZoneSummary, verdict: str
) -> None:
    table = SummaryTable()
    assert table.offer(stored) is SummaryVerdict.NEWER
    assert table.offer(received).value == verdict


def test_many_senders_do_not_overload_one_zone() -> None:
    table = SummaryTable()
    table.offer(summary("b-0", 1, 0, {"b-0": 1}))
    stored = table.fresh()[0]
    object.__setattr__(stored, "first_seen_at_ms", stored.first_seen_at_ms - 60_000)
    taken = 0
    for number in range(200):
        spare = SpareCapacity(random.Random(number))
        while spare.available(stored, "m", 10, 200):
            spare.acquire(ZoneName("zone-b"), "m")
            taken += 1
    # About the advertised room in total, not 200 times as much.
    assert 5 <= taken <= 40


def test_refusal_halves_the_share() -> None:
    table = SummaryTable()
    table.offer(summary("b-0", 1, 0, {"b-0": 1}))
    stored = table.fresh()[0]
    spare = SpareCapacity(random.Random(1))
    zone = ZoneName("zone-b")
    spare.available(stored, "m", 8, 1)
    for _ in range(20):
        spare.accepted(zone, "m")
    grown = spare._uses[zone, "m"].limit
    spare.refused(zone, "m")
    assert spare._uses[zone, "m"].limit == grown / 2
    assert not spare.available(stored, "m", 8, 1)


def test_prefix_keys_per_prompt_length() -> None:
    assert prefix_keys("o", "m", "x" * 100) == ()
    assert len(prefix_keys("o", "m", "x" * 1024)) == 2
    assert prefix_keys("o", "m", "x" * 1024)[0] == prefix_keys("o", "m", "x" * 300)[0]
