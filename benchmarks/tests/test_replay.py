"""Patterns of load at its worst, replayed by the choice and the gossip of many instances."""

import pytest

from benchmarks.load_replay import (
    SHOWN_SEEDS,
    UNSEEN_SEEDS,
    arrivals_of,
    deployment_of,
    load_patterns,
    replay_day,
)
from sparline.fleet import LoadExchange
from sparline.fleet._loads import read_load
from sparline.fleet.exchanges._load_exchange import LoadDatagram
from sparline.placement import Chooser, Placement
from sparline.requests import RoutedRequest
from sparline.schema._gossip import LoadNews, LoadShares

PATTERNS = load_patterns()


def test_unseen_deployments_are_none_of_the_shown():
    assert not set(SHOWN_SEEDS) & set(UNSEEN_SEEDS)


@pytest.mark.parametrize("name", sorted(PATTERNS))
def test_the_same_requests_come_whatever_the_number_of_instances(name):
    few, many = (
        arrivals_of(PATTERNS[name], deployment_of(PATTERNS[name], instances, 1))
        for instances in (3, 24)
    )
    assert [(one.at_ms, one.tokens) for one in few] == [(one.at_ms, one.tokens) for one in many]
    assert max(one.instance for one in many) > max(one.instance for one in few)


def test_a_pattern_tells_each_regions_rate_by_time():
    sun = PATTERNS["follow-the-sun"]
    rates = [sun.rate("large", at_ms) for at_ms in (0, 3_999, 4_000)]
    assert rates == [2.3, 2.3, 0.3]


def test_a_surge_of_one_region_is_served_by_the_others_too():
    # Least-loaded stays in the region: 0.58 against 0.90 of the credit at 3 instances a region.
    sun = PATTERNS["follow-the-sun"]
    ours, near = (replay_day(sun, 3, 2, policy) for policy in ("ours", "least-loaded"))
    assert ours.share > near.share + 0.1


def test_what_siblings_readings_show_of_engines_earns_credit_where_many_send_to_them(monkeypatch):
    # Each of 24 instances measures an engine rarely; simulated, so the shares repeat exactly.
    twice = PATTERNS["twice-what-can-be-served"]
    told = replay_day(twice, 24, 2).share

    def take_load_alone(self: LoadExchange, news: LoadNews) -> None:
        self.load_table.note_change(news.change.backend_server, read_load(news.change))

    monkeypatch.setattr(LoadExchange, "take_news", take_load_alone)
    assert told > replay_day(twice, 24, 2).share + 0.1


def test_a_region_that_is_full_is_not_asked_again_at_once_where_all_are(monkeypatch):
    # Each hop to a full region costs a request a tenth of a second and more, and then it is late.
    twice = PATTERNS["short-requests-at-twice"]
    left_alone = replay_day(twice, 24, 2)

    def exclude_one(_self: Chooser, _request: RoutedRequest, tried: Placement) -> list[str]:
        return [tried.server.id]

    monkeypatch.setattr(Chooser, "note_region_full", exclude_one)
    asked_again = replay_day(twice, 24, 2)
    assert left_alone.late < asked_again.late
    assert left_alone.share > asked_again.share


def test_short_requests_earn_more_where_a_wrong_picture_of_a_load_is_put_right_at_once(monkeypatch):
    # Between two rounds all instances send to the engine that looked idle in the last one.
    crowded = PATTERNS["short-requests-of-one-region"]
    told = replay_day(crowded, 24, 1)

    def take_alone(self: LoadExchange, shares: LoadShares) -> list[LoadDatagram]:
        self._shares.take(shares)
        return []

    monkeypatch.setattr(LoadExchange, "take_shares", take_alone)
    assert told.share > replay_day(crowded, 24, 1).share
