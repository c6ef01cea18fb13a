"""Caller authentication by key, and by the configuration versions of two instances."""

import pytest

from sparline._ids import OrganisationId, RegionName
from sparline.requests import (
    KeyFault,
    KnownCaller,
    PresentedKey,
    Reason,
    RelayedCaller,
    find_caller,
    find_relayed_caller,
    is_withdrawn,
)
from sparline.routes import (
    Configuration,
    ConfigurationVersion,
    Organisation,
    digest_of_key,
    make_organisations,
)
from sparline.tests.routed import make_request, make_route, make_rules

MINE = digest_of_key(b"mine")
OTHERS = digest_of_key(b"others")
NEW = digest_of_key(b"new")
ORE = OrganisationId("ore")


def organisation(name: str = "ore", *keys: bytes, **changes: object) -> Organisation:
    values = {"priority": None, "allowed_regions": frozenset(), "quota": None}
    return Organisation(OrganisationId(name), frozenset(keys), **(values | changes))


def version(number: int, *found: Organisation) -> Configuration:
    return make_rules(version=number, organisations=make_organisations(found))


CURRENT = version(5, organisation("ore", MINE), organisation("peat", OTHERS))
OPEN = make_route(allows_anonymous=True)
CLOSED = make_route()

PRESENTED = [
    # name, presented key, route, expected organisation, expected refusal
    ("a key", PresentedKey(MINE), CLOSED, "ore", None),
    ("a key of another organisation", PresentedKey(OTHERS), CLOSED, "peat", None),
    ("a key on an open route", PresentedKey(MINE), OPEN, "ore", None),
    ("no key on an open route", PresentedKey(None, KeyFault.MISSING), OPEN, None, None),
    ("no key", PresentedKey(None, KeyFault.MISSING), CLOSED, None, Reason.NO_KEY),
    ("two keys", PresentedKey(None, KeyFault.SEVERAL), CLOSED, None, Reason.NO_KEY),
    ("two keys on an open route", PresentedKey(None, KeyFault.SEVERAL), OPEN, None, Reason.NO_KEY),
    ("another scheme", PresentedKey(None, KeyFault.SCHEME), OPEN, None, Reason.NO_KEY),
    ("an unknown key", PresentedKey(NEW), CLOSED, None, Reason.UNKNOWN_KEY),
    ("an unknown key on an open route", PresentedKey(NEW), OPEN, None, Reason.UNKNOWN_KEY),
]


@pytest.mark.parametrize(
    ("presented", "route", "expected", "reason"),
    [row[1:] for row in PRESENTED],
    ids=[row[0] for row in PRESENTED],
)
def test_caller_is_found_by_key(presented, route, expected, reason):
    found = find_caller(CURRENT, route, presented)
    if reason is not None:
        assert found.unwrap_err().reason is reason
        return
    caller = found.unwrap()
    assert (caller.organisation.id if caller else None) == expected


def test_no_key_is_required_without_configured_organisations():
    no_keys_required = make_rules(version=5)
    assert (
        find_caller(no_keys_required, CLOSED, PresentedKey(None, KeyFault.MISSING)).unwrap() is None
    )
    assert find_caller(no_keys_required, CLOSED, PresentedKey(NEW)).unwrap() is None


def test_keys_are_still_required_after_the_last_organisation_is_removed():
    no_organisations = version(6)
    assert find_caller(no_organisations, CLOSED, PresentedKey(MINE)).is_err()


# The older version does not have the new key yet; the newer one no longer has the withdrawn key.
OLDER = version(4, organisation("ore", MINE))
SAME = version(5, organisation("ore", MINE, NEW))
NEWER = version(6, organisation("ore", NEW))
RELAYED = [
    # name, receiver's configuration, sender's version and key, whether the request runs
    ("both have the key", SAME, 5, MINE, True),
    ("a new key, the receiver is behind", OLDER, 5, NEW, True),
    ("a new key, the sender is behind", NEWER, 5, NEW, True),
    ("a withdrawn key, the sender is behind", NEWER, 5, MINE, False),
    ("a withdrawn key, the receiver is behind", OLDER, 6, MINE, True),
    ("a withdrawn key that was restored", SAME, 4, MINE, True),
    ("a new organisation, the receiver is behind", version(4), 5, MINE, False),
    ("a removed organisation, the sender is behind", version(6), 5, MINE, False),
    ("the receiver has no organisations yet", make_rules(version=4), 5, MINE, False),
]


@pytest.mark.parametrize(
    ("configuration", "sender_version", "key", "runs"),
    [row[1:] for row in RELAYED],
    ids=[row[0] for row in RELAYED],
)
def test_instance_with_the_newer_configuration_decides(configuration, sender_version, key, runs):
    relayed = RelayedCaller(ConfigurationVersion(sender_version), ORE, key)
    assert find_relayed_caller(configuration, CLOSED, relayed).is_ok() is runs


@pytest.mark.parametrize(("route", "runs"), [(OPEN, True), (CLOSED, False)])
def test_relayed_request_without_organisation_runs_only_on_open_routes(route, runs):
    assert find_relayed_caller(CURRENT, route, None).is_ok() is runs
    assert find_relayed_caller(make_rules(version=5), route, None).is_ok()


WITHDRAWN = [
    ("the same version", CURRENT, False),
    ("still in force in a newer version", version(6, organisation("ore", MINE)), False),
    ("withdrawn", version(6, organisation("ore", NEW)), True),
    ("reassigned to another organisation", version(6, organisation("peat", MINE)), True),
    ("its organisation was removed", version(6), True),
    ("keys are no longer required", make_rules(version=6), False),
    ("an older version", version(4), False),
]


@pytest.mark.parametrize(
    ("configuration", "withdrawn"),
    [row[1:] for row in WITHDRAWN],
    ids=[row[0] for row in WITHDRAWN],
)
def test_key_withdrawn_while_a_request_runs(configuration, withdrawn):
    caller = KnownCaller(CURRENT.version, CURRENT.organisations.by_id[ORE], MINE)
    assert is_withdrawn(configuration, caller) is withdrawn


NORTH, SOUTH, WEST = (RegionName(region) for region in ("north", "south", "west"))
ALLOWED_REGIONS = [
    ((), (), {NORTH, SOUTH, WEST}),
    ((NORTH, SOUTH), (), {NORTH, SOUTH}),
    ((), (SOUTH,), {SOUTH}),
    ((NORTH, SOUTH), (SOUTH, WEST), {SOUTH}),
    ((NORTH,), (SOUTH,), set()),
]


@pytest.mark.parametrize(("of_route", "of_organisation", "allowed"), ALLOWED_REGIONS)
def test_region_must_be_allowed_by_route_and_organisation(of_route, of_organisation, allowed):
    known_caller = KnownCaller(
        CURRENT.version, organisation("ore", allowed_regions=frozenset(of_organisation)), MINE
    )
    request = make_request(make_route(allowed_regions=frozenset(of_route)), caller=known_caller)
    assert {region for region in (NORTH, SOUTH, WEST) if request.allows(region)} == allowed


@pytest.mark.parametrize(("own", "expected"), [(None, 2), (0, 0), (7, 7)])
def test_organisation_priority_overrides_route_priority(own, expected):
    known_caller = KnownCaller(CURRENT.version, organisation("ore", priority=own), MINE)
    assert make_request(make_route(priority=2), caller=known_caller).priority == expected


def test_digest_is_equal_for_repeats_by_one_caller_only():
    def digest(name: str, key: bytes, request_id: str = "r1"):
        known_caller = KnownCaller(CURRENT.version, organisation(name), key)
        return make_request(caller=known_caller, request_id=request_id).digest()

    assert digest("ore", MINE) == digest("ore", MINE, "r2")
    assert len({digest("ore", MINE), digest("ore", NEW), digest("peat", MINE)}) == 3
    assert make_request().digest() != digest("ore", MINE)
