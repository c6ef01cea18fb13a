"""Which parts are blamed, by the exits under them and the requests that have them."""

from collections.abc import Iterable

import pytest

from sparline._ids import PartDigest
from sparline.decisions import PartEvidence, blame_ms, blamed_parts, is_suspected


def evidence(
    exits: Iterable[int],
    carriers: float,
    bystanders: float = 150.0,
    beside: int = 0,
    was_answered: bool = False,
    is_blamed: bool = False,
    overlapping: frozenset[int] = frozenset(),
) -> PartEvidence:
    counted = frozenset(exits)
    attributable = counted | overlapping
    return PartEvidence(
        counted, attributable, carriers, bystanders, beside, was_answered, is_blamed
    )


# Name of the case, evidence by part, parts that are blamed.
CASES = [
    ("too few exits", {"bad": evidence(range(3), 3)}, ""),
    ("enough exits", {"bad": evidence(range(4), 4)}, "bad"),
    (
        "first part that all have, nothing answered",
        {"first": evidence(range(9), 150), "bad": evidence(range(8), 7)},
        "bad",
    ),
    (
        "first part of another route, nothing answered",
        {"first": evidence(range(9), 60), "bad": evidence(range(9), 7)},
        "bad",
    ),
    (
        "two bad parts behind the same first part",
        {
            "first": evidence(range(10), 150),
            "bad": evidence(range(5), 4),
            "worse": evidence(range(5, 10), 4),
        },
        "bad worse",
    ),
    (
        "part of a request that was moved from one such server to the next",
        {"bad": evidence(range(5), 5), "sound": evidence(range(4), 1)},
        "bad",
    ),
    (
        "sound part under exits of two bad ones",
        {
            "bad": evidence(range(5), 4),
            "worse": evidence(range(5, 9), 4),
            "sound": evidence(range(3, 7), 4),
        },
        "bad worse",
    ),
    (
        "parts that nothing tells apart",
        {"bad": evidence(range(4), 4), "other": evidence(range(4), 4)},
        "other",
    ),
    (
        "part that is blamed already, and another with as many exits",
        {"bad": evidence(range(4), 6, is_blamed=True), "sound": evidence(range(1, 5), 3)},
        "bad",
    ),
    (
        "one of two parts that was answered before",
        {"bad": evidence(range(4), 4), "other": evidence(range(4), 4, was_answered=True)},
        "bad",
    ),
    (
        "sound part under exits of a bad one and one more",
        {"bad": evidence(range(5), 5), "sound": evidence(range(2, 6), 3)},
        "bad",
    ),
    (
        "sound part under exits that count once against the bad one",
        {
            "bad": evidence(range(4), 9, overlapping=frozenset((7, 8, 9))),
            "sound": evidence(range(6, 10), 3),
        },
        "bad",
    ),
    (
        "second bad part, and a sound one with as many exits left, under fewer in all",
        {
            "bad": evidence(range(6), 8, is_blamed=True, overlapping=frozenset((6, 7, 8))),
            "worse": evidence(range(4, 11), 7, overlapping=frozenset((11, 12))),
            "sound": evidence((9, 10, 11, 20), 3, overlapping=frozenset((0, 5))),
        },
        "bad worse",
    ),
    (
        "blamed part, and another under most of its exits that count",
        {
            "bad": evidence(range(6), 7, overlapping=frozenset((6, 7, 8))),
            "worse": evidence(range(2, 7), 8, is_blamed=True, overlapping=frozenset((8, 9, 10))),
        },
        "bad worse",
    ),
    ("most requests have it", {"bad": evidence(range(7), 90)}, ""),
    ("most requests have it, many exits", {"bad": evidence(range(8), 90)}, "bad"),
    (
        "most requests have it, others are answered",
        {"bad": evidence(range(4), 90, beside=8)},
        "bad",
    ),
    (
        "two parts under exits of their own",
        {"bad": evidence(range(4), 4), "other": evidence(range(4, 8), 4)},
        "bad other",
    ),
]


@pytest.mark.parametrize(
    ("known", "blamed"), [row[1:] for row in CASES], ids=[row[0] for row in CASES]
)
def test_the_part_that_explains_exits_with_few_carriers_is_blamed(known, blamed):
    by_digest = {PartDigest(name.encode()): one for name, one in known.items()}
    assert {one.decode() for one in blamed_parts(by_digest)} == set(blamed.split())


def test_suspected_parts_have_exits_that_no_other_part_explains():
    assert is_suspected(evidence(range(2), 1), frozenset())
    assert not is_suspected(evidence(range(2), 1), frozenset((1,)))
    assert not is_suspected(evidence(range(9), 100), frozenset())


def test_only_common_parts_are_blamed_for_a_limited_time():
    assert blame_ms(evidence(range(4), 4)) is None
    limits = [blame_ms(evidence(range(count), 100)) for count in (8, 9, 30)]
    assert limits == [60_000.0, 120_000.0, 3_600_000.0]
