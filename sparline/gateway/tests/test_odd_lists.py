"""Tests of odd entries that an instance meets as it starts, in the history or in a peer's copy."""

import socket

import cbor2
import pytest

from sparline._cbor import pack
from sparline.gateway._peer_answers import STORE_COPY_TARGET
from sparline.gateway.tests.test_odd_entries import (
    KEYS,
    NESTINGS,
    ROUTES,
    entry_of,
    expect_follows,
    expect_no_task_ended,
    expect_served,
    odd_configuration,
    odd_values,
)
from sparline.http import CallerConnection
from sparline.schema._gossip import StoreCopy, StoreItemNote
from sparline.tests.routed_fleet import RoutedFleet
from standins import publish

# More than the store has on a page.
MANY = 300


def put_all_odd(store, address: tuple[str, int]) -> None:
    """Write every odd entry, under keys of their own, with odd keys and odd evacuations."""
    for number, value in enumerate(odd_values(*address).values()):
        store.put_bytes(f"servers/odd{number}", value)
    for key in KEYS.values():
        store.put_bytes(f"servers/{key}", entry_of(f"{address[0]}:{address[1]}"))
        store.put_bytes(f"op/evacuate/{key}", b"[" * 50_000)
        store.put_bytes(f"op/evacuate/{key}-ended", b"\xff")
        store.delete(f"op/evacuate/{key}-ended")
        store.put_bytes(key, b"\xff")


@pytest.fixture
def fleet():
    """Yield two gateways, of which the first reaches the servers directly, the other by a hop."""
    with RoutedFleet(("north-1", "south-1"), has_store_proxies=True) as one:
        for name in ("s1", "s2"):
            one.add_server(name)
        publish(one.store, 1, ROUTES)
        yield one


def address_of(fleet) -> tuple[str, int]:
    server = fleet.servers["s1"]
    return server.ip, server.port


def test_instances_become_ready_with_a_list_of_odd_entries(fleet):
    """Guards against processes that end at each start because of the list."""
    put_all_odd(fleet.store, address_of(fleet))
    expect_served(fleet, "a", may_refuse=True)
    expect_follows(fleet, "b")


def test_instance_that_starts_later_reads_a_history_of_odd_entries(fleet):
    """Guards against processes that end at each start because of past evacuations."""
    fleet.until(fleet.is_ready, "all gateways hold the store's state")
    put_all_odd(fleet.store, address_of(fleet))
    fleet.add_gateway("g2", "127.0.1.3", "north-1")
    fleet.until(fleet.is_ready, "all gateways hold the store's state")
    expect_served(fleet, "a", may_refuse=True)
    expect_follows(fleet, "b")


def test_many_odd_entries_at_once_leave_the_sound_ones_in_use(fleet):
    """Guards against a list that is no longer followed because most of it is unreadable."""
    fleet.until(fleet.is_ready, "all gateways hold the store's state")
    for number in range(MANY):
        fleet.store.put_bytes(f"servers/many{number}", b"[" * NESTINGS[number % 3])
    expect_served(fleet, "a")
    expect_follows(fleet, "b")


def test_odd_entries_come_through_the_copy_of_a_peer(fleet):
    """Guards against copies for peers that long odd entries make longer than any that is taken."""
    fleet.until(fleet.is_ready, "all gateways hold the store's state")
    fleet.cut_from_store("g1")
    put_all_odd(fleet.store, address_of(fleet))
    expect_served(fleet, "a", may_refuse=True)
    expect_follows(fleet, "b")


def test_odd_configuration_comes_through_the_copy_of_a_peer(fleet):
    """Guards against a configuration that only a peer shows and that ends its reader."""
    fleet.until(fleet.is_ready, "all gateways hold the store's state")
    fleet.cut_from_store("g1")
    fleet.store.put_bytes("op/config", odd_configuration(("services", 1, "cold_start_s"), "1e308"))
    fleet.add_server("s3")
    expect_served(fleet, "a")
    assert {one.fleet.configuration_version for one in fleet.gateways.values()} == {1}


ODD_CBOR = {
    "nested 300 deep": b"\x81" * 300 + b"\x01",
    "nested 500 deep": b"\x81" * 500 + b"\x01",
    "nested 50,000 deep": b"\x81" * 50_000 + b"\x01",
    "a long array": b"\x9b" + b"\x7f" * 8,
    "a long text": b"\x7b" + b"\x7f" * 8,
    "a time too large": b"\xc1\xfb\x7f\xe0" + bytes(6),
    "a number of 60,000 bytes": b"\xc2\x59\xea\x60" + b"\xff" * 60_000,
    "a fraction with a large exponent": cbor2.dumps(cbor2.CBORTag(4, [2**62, 1])),
    "a list in itself": b"\xd8\x1c\x81\xd8\x1d\x00",
    "no bytes": b"",
}


@pytest.mark.parametrize("data", ODD_CBOR.values(), ids=ODD_CBOR)
def test_odd_datagram_ends_no_gossip(fleet, data):
    """Guards against a datagram that ends the task which reads all of them."""
    fleet.until(fleet.is_ready, "all gateways hold the store's state")
    heard = {name: one.members.own.counter for name, one in fleet.gateways.items()}
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for one in fleet.gateways.values():
            sender.sendto(data, (one.settings.ip, one.gossip._port))
    fleet.until(
        lambda: all(
            other.note.counter > heard[other.note.name] + 1
            for one in fleet.gateways.values()
            for other in one.members.others()
        ),
        "gossip goes on",
    )
    expect_no_task_ended(fleet)


ODD_COPIES = ODD_CBOR | {
    "an entry that is no text": pack(StoreCopy(1, False, [StoreItemNote("servers/a", 1, b"\xff")])),
    "a revision of an entry too large": pack(
        StoreCopy(1, False, [StoreItemNote("servers/a", 10**400, b"")], era=1)
    ),
}


@pytest.mark.parametrize("copy", ODD_COPIES.values(), ids=ODD_COPIES)
def test_odd_copy_of_a_peer_ends_no_synchronisation(fleet, monkeypatch, copy):
    """Guards against an answer of a peer that ends the task which reads copies."""
    fleet.until(fleet.is_ready, "all gateways hold the store's state")
    answers = fleet.gateways["g0"].service._peer_answers
    asked = []

    def answer_oddly(caller: CallerConnection, http) -> bool:
        if not http.target.startswith(STORE_COPY_TARGET) or asked:
            return type(answers).answer(answers, caller, http)
        asked.append(http.target)
        caller.answer(200, [], copy)
        return True

    monkeypatch.setattr(answers, "answer", answer_oddly, raising=False)
    fleet.cut_from_store("g1")
    fleet.add_server("s3")
    fleet.until(lambda: bool(asked), "a copy is asked for")
    fleet.until(lambda: "s3" in fleet.gateways["g1"].fleet.servers, "the next copy is taken")
    expect_no_task_ended(fleet)
