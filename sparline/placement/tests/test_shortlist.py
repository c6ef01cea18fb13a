"""Shortlists of large services: size, agreement on one prefix, and full lists of small services."""

import random

import pytest

from sparline._ids import RegionName
from sparline.placement._shortlist import (
    MAX_COMPLETE_SERVERS,
    MAX_OTHER_REGIONS_SERVERS,
    MAX_OWN_REGION_SERVERS,
    Shortlist,
)
from sparline.requests import Prompt, PromptPrefix
from sparline.tests.routed import make_request, make_server

NORTH = RegionName("north")


def servers(count: int, regions: int = 3) -> list:
    names = ["north", *(f"r{number}" for number in range(1, regions))]
    return [make_server(f"e{number}", names[number % regions]) for number in range(count)]


def shortlist(seed: int = 1) -> Shortlist:
    return Shortlist(NORTH, random.Random(seed))


def make_prompt_request(start: str | None):
    starts = (PromptPrefix(start, 9_000),) if start else ()
    return make_request(prompt=Prompt(9_400, 50, starts))


@pytest.mark.parametrize("count", [0, 1, 9, MAX_COMPLETE_SERVERS])
def test_small_service_is_considered_completely(count):
    some = servers(count)
    assert list(shortlist().of(make_prompt_request("/a"), some)) == some


@pytest.mark.parametrize(("count", "regions"), [(65, 3), (300, 1), (1_300, 23), (3_000, 3)])
def test_number_of_candidates_of_large_service_is_bounded(count, regions):
    found = shortlist().of(make_prompt_request("/a"), servers(count, regions))
    assert len(found) <= MAX_OWN_REGION_SERVERS + MAX_OTHER_REGIONS_SERVERS
    assert len({one.id for one in found}) == len(found)
    near = [one for one in found if one.region == NORTH]
    assert len(near) >= min(MAX_OWN_REGION_SERVERS // 2, -(-count // regions))


def test_requests_with_same_prefix_get_same_candidates_in_own_region():
    some = servers(900)
    one, other = (
        {
            server.id
            for server in shortlist(seed).of(make_prompt_request("/a"), some)
            if server.region == NORTH
        }
        for seed in (1, 2)
    )
    assert one == other


def test_every_server_is_considered_eventually():
    some = servers(900)
    candidates = shortlist()
    seen = {
        one.id for number in range(2_000) for one in candidates.of(make_prompt_request(None), some)
    }
    assert seen == {one.id for one in some}


def test_slices_are_rebuilt_when_servers_change():
    some = servers(90, 1)
    candidates = shortlist()
    candidates.of(make_prompt_request("/a"), some)
    fewer = some[:70]
    assert {one.id for one in candidates.of(make_prompt_request("/a"), fewer)} <= {
        one.id for one in fewer
    }
