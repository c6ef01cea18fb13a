"""Crowds of clients that do not behave, against gateway processes of lowered limits."""

from collections.abc import Sequence
from dataclasses import dataclass

import pytest

from benchmarks.crowds import (
    DESCRIPTORS,
    MEMORY_MB,
    SLOW_SERVER,
    Behaviour,
    Crowd,
    ProcessWatch,
    answer_to_ordinary_request,
    ask_with_full_body,
    crowd_site,
    half_a_head,
    runs_of,
    sends_too_much,
    stops_in_chunks,
    stops_short,
    too_much_announced,
    unread_answer,
    whole_body,
)

BYTES_PER_MB = 1_000_000
ASKED = "g0"
# Answers after which a request must not have run.
NOT_RUN = frozenset({408, 413, 421, 429, 503})


@dataclass(frozen=True, slots=True)
class Row:
    """Hold one crowd."""

    name: str
    behaviours: Sequence[Behaviour]  # of the clients
    is_over_hop: bool = False  # whether all servers are in another region


ROWS = [
    Row("bodies that stop short", [stops_short()] * 40),
    Row("chunks without an end", [stops_in_chunks()] * 40),
    Row("whole bodies", [whole_body()] * 40),
    Row("whole bodies over a hop", [whole_body()] * 40, is_over_hop=True),
    Row("too much announced", [too_much_announced()] * 40),
    Row("too much sent", [sends_too_much()] * 40),
    Row("unread answers", [unread_answer()] * 80),
    Row(
        "mixture",
        [stops_short(), stops_in_chunks(), whole_body(), unread_answer()] * 10,
    ),
    Row("half heads", [half_a_head()] * 400),
]


def assert_within_limits(watch: ProcessWatch) -> None:
    watch.look()
    print(f"peak {watch.peak_bytes}, descriptors {watch.most_descriptors}")
    assert not watch.ended()
    most_bytes = max(watch.peak_bytes.values())
    assert most_bytes < MEMORY_MB * BYTES_PER_MB, watch.peak_bytes
    assert max(watch.most_descriptors.values()) < DESCRIPTORS, watch.most_descriptors


@pytest.mark.parametrize("row", ROWS, ids=lambda row: row.name.replace(" ", "-"))
def test_crowd_ends_no_process_and_keeps_no_ordinary_caller_out(tmp_path, row):
    with crowd_site(row.is_over_hop, tmp_path) as fleet, ProcessWatch(fleet) as watch:
        slow = fleet.servers[SLOW_SERVER]
        slow.may_send.clear()
        address = (fleet.gateways[ASKED].ip, fleet.ports["callers"])
        try:
            with Crowd(address, row.behaviours) as crowd:
                crowd.until_quiet(watch.present_bytes)
                beside = answer_to_ordinary_request(fleet, ASKED, "beside")
                slow.may_send.set()
                crowd.until_whole_have_ended()
        finally:
            slow.may_send.set()
        afterwards = answer_to_ordinary_request(fleet, ASKED, "afterwards")
        refused = {one.request_id for one in crowd.clients if one.status in NOT_RUN}
        assert not refused & runs_of(fleet)
        assert (beside, afterwards) == (200, 200)
        assert_within_limits(watch)


@pytest.mark.parametrize("count", [1, 3])
@pytest.mark.parametrize("is_over_hop", [False, True], ids=["direct", "over-hop"])
def test_bodies_of_the_full_legal_size_are_served_in_calm(tmp_path, is_over_hop, count):
    with crowd_site(is_over_hop, tmp_path) as fleet, ProcessWatch(fleet) as watch:
        assert ask_with_full_body(fleet, ASKED, count) == [200] * count
        assert_within_limits(watch)
