"""What callers send and get: outcomes, refusals, streams, residency, secrecy."""

import json
from collections.abc import Iterator
from dataclasses import replace

import gevent
import pytest

from sparline.entry import _caller_request
from sparline.instance import Instance
from sparline.schema._messages import InstanceState
from sparline.tests.local_fleet import TWO_REGIONS, LocalFleet, new_id

PROMPT = "secret prompt of the rig"
GOOD = {"model": "model-a", "prompt": PROMPT, "max_tokens": 3}
KEY = {"Authorization": "Bearer key-of-org-north-1"}
HOME_KEY = {"Authorization": "Bearer key-of-org-south-0"}


@pytest.fixture(scope="module")
def shared_fleet() -> Iterator[LocalFleet]:
    with LocalFleet(TWO_REGIONS) as started:
        yield started


@pytest.fixture
def fleet(shared_fleet: LocalFleet) -> LocalFleet:
    shared_fleet.heal()
    return shared_fleet


REFUSALS = [
    # name, path, headers, body, status, reason
    ("no key", "/v1/completions", {}, GOOD, 401, "no_key"),
    ("unknown key", "/v1/completions", {"Authorization": "Bearer guess"}, GOOD, 401, "no_key"),
    ("other scheme", "/v1/completions", {"Authorization": "Basic key-of-org-north-1"}, GOOD, 401, "no_key"),
    ("unknown path", "/v2/completions", KEY, GOOD, 404, "unknown_target"),
    ("unknown model", "/v1/completions", KEY, GOOD | {"model": "model-z"}, 404, "unknown_target"),
    ("unknown adapter", "/v1/completions", KEY, GOOD | {"adapter": "none"}, 404, "unknown_target"),
    ("unknown service", "/services/nothing/x", KEY, {}, 404, "unknown_target"),
    ("not json", "/v1/completions", KEY, b"{", 400, "bad_request"),
    ("not utf-8", "/v1/completions", KEY, b"\xff\xfe", 400, "bad_request"),
    ("doubled key", "/v1/completions", KEY, b'{"model": "a", "model": "b"}', 400, "bad_request"),
    ("prompt and messages", "/v1/completions", KEY, GOOD | {"messages": []}, 400, "bad_request"),
    ("neither", "/v1/completions", KEY, {"model": "model-a"}, 400, "bad_request"),
    ("tokens as text", "/v1/completions", KEY, GOOD | {"max_tokens": "3"}, 400, "bad_request"),
    ("too many bytes", "/v1/completions", KEY, b'"' + b"x" * 4_000_001 + b'"', 400, "bad_request"),
    ("deadline as text", "/v1/completions", KEY | {"Sparline-Deadline-Ms": "soon"}, GOOD, 400, "bad_request"),
    ("deadline of zero", "/v1/completions", KEY | {"Sparline-Deadline-Ms": "0"}, GOOD, 400, "bad_request"),
    ("priority of ten", "/v1/completions", KEY | {"Sparline-Priority": "10"}, GOOD, 400, "bad_request"),
    ("mark as text", "/v1/completions", KEY | {"Sparline-Not-Repeatable": "yes"}, GOOD, 400, "bad_request"),
    ("bad ticket", "/v1/completions", KEY | {"Sparline-Ticket": "x"}, GOOD, 400, "bad_request"),
    ("region not allowed", "/v1/completions", HOME_KEY, GOOD, 403, "residency"),
    ("deadline out of reach", "/v1/completions", KEY | {"Sparline-Deadline-Ms": "1"}, GOOD, 503, "deadline_unreachable"),
]  # fmt: skip


@pytest.mark.parametrize(
    ("name", "path", "headers", "body", "status", "reason"),
    REFUSALS,
    ids=[row[0] for row in REFUSALS],
)
def test_refusal(
    fleet: LocalFleet, name: str, path: str, headers: dict, body: object, status: int, reason: str
) -> None:
    content = body if isinstance(body, bytes) else json.dumps(body).encode()
    request_id = new_id()
    seen_status, answer = fleet.http(
        "zone-a-0", "POST", path, headers | {"Sparline-Request-Id": request_id}, content
    )
    told = json.loads(answer)
    assert (seen_status, told["outcome"], told["reason"]) == (status, "not_run", reason)
    assert fleet.runs([request_id]) == 0


TICKET_REFUSALS = [
    # name, headers beside a ticket of another instance
    ("at another instance", KEY),
    ("without a key in force", {"Authorization": "Bearer old"}),
]


@pytest.mark.parametrize(
    ("name", "headers"), TICKET_REFUSALS, ids=[row[0] for row in TICKET_REFUSALS]
)
def test_ticket_of_another_is_never_called_not_run(
    fleet: LocalFleet, name: str, headers: dict
) -> None:
    ticket = {"Sparline-Ticket": "zone-b-0~0123~5~nonce"}
    _, answer = fleet.http(
        "zone-a-0", "POST", "/v1/completions", headers | ticket, json.dumps(GOOD).encode()
    )
    assert json.loads(answer)["outcome"] == "unknown"


def test_document_answer_holds_the_whole_text(fleet: LocalFleet) -> None:
    status, answer = fleet.http(
        "zone-a-0", "POST", "/v1/completions", KEY, json.dumps(GOOD).encode()
    )
    told = json.loads(answer)
    assert (status, told["outcome"], told["usage"]["completion_tokens"]) == (200, "complete", 3)
    assert len(told["choices"][0]["text"].split()) == 3


def test_stream_ends_with_its_outcome(fleet: LocalFleet) -> None:
    body = json.dumps(
        {
            "model": "model-a",
            "messages": [{"role": "user", "content": PROMPT}],
            "max_tokens": 4,
            "stream": True,
        }
    )
    _, answer = fleet.http("zone-a-0", "POST", "/v1/chat/completions", KEY, body.encode())
    events = answer.decode().strip().split("\n\n")
    assert len(events) == 6
    assert events[-2].startswith("event: outcome") and '"complete"' in events[-2]
    assert events[-1] == "data: [DONE]"


def test_adapter_is_served_where_it_is_loaded(fleet: LocalFleet) -> None:
    report = fleet.ask(fleet.question("north", adapter="tone"))
    assert (report.outcome, report.faults) == ("complete", [])


def test_body_of_a_plain_call_passes_through_whole(fleet: LocalFleet) -> None:
    body = b"0123456789abcdef" * 60_000
    request_id = new_id()
    headers = KEY | {"Sparline-Request-Id": request_id}
    status, answer = fleet.http("zone-a-0", "PUT", "/services/registry/a%20b?c=d", headers, body)
    assert status == 200
    assert f"PUT /a b id={request_id} bytes={len(body)} ".encode() in answer


def test_cut_stream_is_never_shown_as_whole(fleet: LocalFleet) -> None:
    engine = fleet.engines["zone-a-engine-0"]
    engine.faults.update({"cut_after_tokens": 5, "remaining": 1})
    report = fleet.ask(fleet.question("north", repeatable=False, output_tokens=20))
    assert (report.outcome, report.reason, report.faults) == ("unknown", "broken_in_answer", [])


def test_cut_plain_answer_has_no_framed_end(fleet: LocalFleet) -> None:
    service = fleet.services["zone-a-service-0"]
    service.faults.update({"close_after_run": True, "remaining": 1})
    report = fleet.ask(fleet.filing("north"))
    assert report.outcome == "unknown"
    assert fleet.runs(report.request_ids) == 1


def test_locate_names_only_allowed_instances_and_carries_no_payload(fleet: LocalFleet) -> None:
    for name in fleet.settings:
        _, answer = fleet.http(name, "GET", "/locate?target=model-a", HOME_KEY)
        assert [one["instance_id"] for one in json.loads(answer)["instances"]] == ["zone-b-0"]
        _, answer = fleet.http(name, "GET", "/locate?target=model-a", KEY)
        assert json.loads(answer)["instances"][0]["instance_id"] == name


def test_second_use_of_a_ticket_gets_the_outcome_of_the_first(fleet: LocalFleet) -> None:
    _, answer = fleet.http("zone-a-0", "GET", "/locate?target=model-a", KEY)
    ticket = json.loads(answer)["ticket"]
    headers = KEY | {"Sparline-Ticket": ticket, "Sparline-Not-Repeatable": "1"}
    body = json.dumps(GOOD).encode()
    first = json.loads(fleet.http("zone-a-0", "POST", "/v1/completions", headers, body)[1])
    second = json.loads(fleet.http("zone-a-0", "POST", "/v1/completions", headers, body)[1])
    assert (first["outcome"], second["outcome"], second["reason"]) == (
        "complete",
        "complete",
        "duplicate",
    )
    assert fleet.runs([ticket]) == 1


def test_leaving_instance_names_others_and_knows_earlier_requests(fleet: LocalFleet) -> None:
    headers = KEY | {"Sparline-Request-Id": new_id(), "Sparline-Not-Repeatable": "1"}
    body = json.dumps(GOOD).encode()
    fleet.http("zone-a-0", "POST", "/v1/completions", headers, body)
    membership = fleet.instances["zone-a-0"].membership
    membership.state = InstanceState.leaving
    try:
        again = json.loads(fleet.http("zone-a-0", "POST", "/v1/completions", headers, body)[1])
        fresh = json.loads(fleet.http("zone-a-0", "POST", "/v1/completions", KEY, body)[1])
    finally:
        membership.state = InstanceState.live
    assert (again["outcome"], again["reason"]) == ("complete", "duplicate")
    assert (fresh["outcome"], fresh["reason"]) == ("not_run", "leaving")
    assert [one["instance_id"] for one in fresh["instances"]] == ["zone-b-0"]


def test_caller_that_goes_away_frees_its_place(fleet: LocalFleet) -> None:
    instance = fleet.instances["zone-a-0"]
    job = fleet.question("north", output_tokens=2000)
    task = gevent.spawn(fleet.ask, job)
    fleet.until(lambda: instance.in_flight() == 1, "the request is in flight")
    task.kill()
    fleet.until(lambda: instance.in_flight() == 0, "its place is free")
    fleet.until(lambda: fleet.engines["zone-a-engine-0"]._running == 0, "the engine is free")


def test_caller_that_goes_away_during_prefill_frees_its_place(fleet: LocalFleet) -> None:
    """Guards against a stand-in that keeps the place of a request cancelled in its prefill."""
    instance = fleet.instances["zone-a-0"]
    engine = fleet.engines["zone-a-engine-0"]
    shape = engine.shape
    engine.shape = replace(shape, prefill_tokens_per_s=4.0)
    try:
        task = gevent.spawn(fleet.ask, fleet.question("north", prompt="x" * 16))
        fleet.until(lambda: engine._running == 1, "the engine reads the prompt")
        task.kill()
        fleet.until(lambda: instance.in_flight() == 0, "its place is free")
        fleet.until(lambda: engine._running == 0, "the engine is free", limit_ms=20_000.0)
    finally:
        engine.shape = shape


def test_no_prompt_and_no_key_in_metrics(fleet: LocalFleet) -> None:
    fleet.http("zone-a-0", "POST", "/v1/completions", KEY, json.dumps(GOOD).encode())
    text = fleet.instances["zone-a-0"].metrics.render().decode()
    assert "sparline_requests_total" in text
    assert "secret" not in text and "key-of" not in text


def test_large_prompt_is_relayed_whole(fleet: LocalFleet) -> None:
    fleet.engines["zone-a-engine-0"].draining = True
    away = fleet.engines["zone-b-engine-0"]
    away.shape = replace(away.shape, prefill_tokens_per_s=10_000_000.0)
    home = fleet.instances["zone-a-0"]
    fleet.until(lambda: not home.loads.get("zone-a-engine-0").takes_work, "home takes no work")
    fleet.until(lambda: _prompt_token_us(home) < 1, "the fast engine is known")
    report = fleet.ask(fleet.question("north", prompt="x" * 2_500_000, deadline_ms=60_000))
    assert (report.outcome, report.faults) == ("complete", [])
    assert away.ledger.runs[-1].prompt_tokens == 625_000


def _prompt_token_us(instance: Instance) -> int:
    targets = [one for held in instance.summaries.fresh() for one in held.summary.targets]
    return min((one.prompt_token_us for one in targets if one.target == "model-a"), default=1)


def test_prefix_hashes_of_two_organisations_differ() -> None:
    prompt = "x" * 300
    assert _caller_request.prefix_keys("a", "m", prompt) != _caller_request.prefix_keys(
        "b", "m", prompt
    )
