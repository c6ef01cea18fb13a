"""Limits set by backend servers: latest value, reported changes, removed servers."""

import pytest

from sparline.placement import ServerLimitTable
from sparline.tests.routed import make_server

S1 = make_server("s1").id

ANSWERS = [
    # limits in consecutive answers of a server, and the changes to be reported
    ("no limit", [None, None], []),
    ("repeated", [1.8, 1.8, 1.8], [1.8]),
    ("changed", [1.8, 2.5], [1.8, 2.5]),
    ("removed", [1.8, None, None], [1.8, None]),
    ("restored", [1.8, None, 1.8], [1.8, None, 1.8]),
    ("zero", [0.0], [0.0]),
]


@pytest.mark.parametrize(
    ("answers", "expected_changes"), [row[1:] for row in ANSWERS], ids=[row[0] for row in ANSWERS]
)
def test_latest_answer_sets_the_limit(answers, expected_changes):
    changes = []
    limits = ServerLimitTable(lambda limit: changes.append(limit.per_s))
    for per_s in answers:
        limits.note_answer(S1, per_s)
        assert limits.limit_per_s(S1) == per_s
    assert changes == expected_changes
    assert limits.limited_count() == (answers[-1] is not None)


def test_limit_of_a_removed_server_is_forgotten():
    limits = ServerLimitTable()
    limits.note_answer(S1, 1.8)
    limits.forget_all_but(set())
    assert limits.limit_per_s(S1) is None
