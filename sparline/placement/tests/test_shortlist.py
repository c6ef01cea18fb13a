"""Shortlists of large services: size, agreement on one prefix, and full lists of small services."""

import random

import pytest

from sparline._ids import RegionName
from sparline.placement._shortlist import MOST_FAR, MOST_NEAR, MOST_WHOLE, Shortlist
from sparline.requests import Prompt, PromptStart
from sparline.tests.routed import make_request, make_server

NORTH = RegionName("north")


def servers(count: int, regions: int = 3) -> list:
    names = ["north", *(f"r{number}" for number in range(1, regions))]
    return [make_server(f"e{number}", names[number % regions]) for number in range(count)]


def shortlist(seed: int = 1) -> Shortlist:
    return Shortlist(NORTH, random.Random(seed))


def asks(start: str | None):
    starts = (PromptStart(start, 9_000),) if start else ()
    return make_request(prompt=Prompt(9_400, 50, starts))


@pytest.mark.parametrize("count", [0, 1, 9, MOST_WHOLE])
def test_small_service_is_considered_completely(count):
    some = servers(count)
    assert list(shortlist().of(asks("/a"), some)) == some


@pytest.mark.parametrize(("count", "regions"), [(65, 3), (300, 1), (1_300, 23), (3_000, 3)])
def test_number_of_candidates_of_large_service_is_bounded(count, regions):
    found = shortlist().of(asks("/a"), servers(count, regions))
    assert len(found) <= MOST_NEAR + MOST_FAR
    assert len({one.id for one in found}) == len(found)
    near = [one for one in found if one.region == NORTH]
    assert len(near) >= min(MOST_NEAR // 2, -(-count // regions))


def test_requests_with_same_prefix_get_same_candidates_in_own_region():
    some = servers(900)
    one, other = (
        {server.id for server in shortlist(seed).of(asks("/a"), some) if server.region == NORTH}
        for seed in (1, 2)
    )
    assert one == other


def test_every_server_is_considered_eventually():
    some = servers(900)
    list_ = shortlist()
    seen = {one.id for number in range(2_000) for one in list_.of(asks(None), some)}
    assert seen == {one.id for one in some}


def test_slices_are_rebuilt_when_servers_change():
    some = servers(90, 1)
    list_ = shortlist()
    list_.of(asks("/a"), some)
    less = some[:70]
    assert {one.id for one in list_.of(asks("/a"), less)} <= {one.id for one in less}
