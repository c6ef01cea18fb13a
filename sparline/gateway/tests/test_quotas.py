"""Tests of quotas at the gateway: refusals, their responses and refunds."""

import pytest

from sparline.tests.routed_fleet import RoutedFleet
from standins import PROMPT, SealedFaults, configuration

# A request with `PROMPT` costs 450 tokens.
ORE = {
    "name": "ore",
    "api_keys": ["k-ore"],
    "unit": "token_count",
    "uncached_tokens": 200,
    "per_s": 10,
    "burst": 1_000,
}
FREE = {"name": "free", "api_keys": ["k-free"]}
COST = 450


@pytest.fixture
def fleet():
    with RoutedFleet(("north-1", "south-1")) as one:
        one.add_server("p1")
        one.add_server("e1", "engines", events=4)
        one.add_server("s1", "engines", "south-1", events=4)
        one.store.put("op/config", configuration(1) | {"tenants": [ORE, FREE]})
        one.until(one.is_ready, "all are ready")
        yield one


def ask(fleet: RoutedFleet, number: int, at: str = "g0", key: str = "k-ore"):
    return fleet.ask(
        "/stream/x", f"r{number}{at}", at, body=b"a", Authorization=f"Bearer {key}", **PROMPT
    )


def test_request_over_its_quota_gets_retry_after_and_does_not_run(fleet):
    got = [ask(fleet, number) for number in range(12)]
    assert {one.status for one in got} == {200, 429}
    refused = [one for one in got if one.status == 429]
    assert all(float(one.headers["retry-after"]) > 0 for one in refused)
    assert len(fleet.runs()) == sum(one.status == 200 for one in got)


def test_instances_share_their_charges(fleet):
    for number in range(12):
        ask(fleet, number)
    g1 = fleet.gateways["g1"]
    fleet.until(
        lambda: len(g1.quota_exchange.quota_coordinator), "the other region has heard of it"
    )
    admitted = sum(ask(fleet, number, "g1").status == 200 for number in range(12))
    # One request may be admitted beyond the remaining quota.
    assert admitted * COST <= ORE["burst"] + COST


def test_other_organisations_are_not_refused(fleet):
    for number in range(12):
        ask(fleet, number)
    assert all(ask(fleet, number, key="k-free").status == 200 for number in range(12))


def test_requests_that_did_not_run_are_refunded(fleet):
    for server in fleet.servers.values():
        server.faults = SealedFaults(refuse=True)
    assert {ask(fleet, number).status for number in range(12)} == {503}
    assert fleet.gateways["g0"].quota_exchange.left("ore").units > 0


def test_lower_quota_applies_with_its_configuration_version(fleet):
    assert ask(fleet, 0).status == 200
    lower = ORE | {"burst": 1, "per_s": 0.001}
    fleet.store.put("op/config", configuration(2) | {"tenants": [lower, FREE]})
    fleet.until(
        lambda: all(one.fleet.configuration.version == 2 for one in fleet.gateways.values()),
        "the version is in force",
    )
    ask(fleet, 1)
    assert ask(fleet, 2).status == 429


def test_refusals_are_counted_by_organisation(fleet):
    refused = sum(ask(fleet, number).status == 429 for number in range(12))
    metrics_text = fleet.gateways["g0"].metrics.render().decode()
    assert f'sparline_quota_refusals_total{{organisation="ore"}} {float(refused)}' in metrics_text
