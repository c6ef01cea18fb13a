"""Order of urgency by the priorities of organisations and routes."""

import pytest

from sparline.routes import MAX_RANK, make_ranks

CASES = [
    # priorities of routes, of organisations, then (route, organisation) from the most urgent on
    ("routes alone keep their priorities", (0, 2), (None,), [(0, None), (2, None)]),
    ("equal organisations: the route decides", (0, 1, 2), (1, 1), [(0, 1), (1, 1), (2, 1)]),
    ("the organisation goes first", (0, 2), (0, 1), [(0, 0), (2, 0), (0, 1), (2, 1)]),
    ("one without a priority has its route's", (0, 2), (1, None), [(0, None), (0, 1), (2, 1)]),
]


@pytest.mark.parametrize(
    ("routes", "own", "order"), [case[1:] for case in CASES], ids=[case[0] for case in CASES]
)
def test_rank_follows_the_organisation_and_then_the_route(routes, own, order):
    # Requests of organisations with one priority were all alike, however urgent their routes.
    ranks = make_ranks(routes, own)
    found = [ranks.of(route, organisation) for route, organisation in order]
    assert found == sorted(set(found))


def test_many_priorities_stay_within_the_ranks():
    ranks = make_ranks(range(5), range(5))
    assert max(ranks.of(route, own) for route in range(5) for own in range(5)) == MAX_RANK
    assert make_ranks((40,), ()).of(40, None) == MAX_RANK
