from types import SimpleNamespace

import gevent
import pytest

from sparline.gateway import _server_connectivity as module
from sparline.gateway._server_connectivity import ConnectivitySources, ServerConnectivity


def servers(count: int) -> list[SimpleNamespace]:
    return [SimpleNamespace(address=("10.0.0.1", number)) for number in range(count)]


# Numbers of servers, those of them that answer, and whether the instance is isolated.
ROWS = [
    ("no server", 0, set(), False),
    ("one that answers", 1, {0}, False),
    ("none answers", 3, set(), True),
    ("one of several answers", 3, {2}, False),
]


@pytest.mark.parametrize("row", ROWS, ids=[row[0] for row in ROWS])
def test_instance_is_isolated_if_no_server_answers(row):
    _, count, answering, is_isolated = row
    changes: list[bool] = []
    connectivity = ServerConnectivity(
        ConnectivitySources(
            lambda limit: servers(min(count, limit)),
            lambda address, _timeout_ms: address[1] in answering,
            changes.append,
        )
    )
    assert connectivity.check() is is_isolated
    assert connectivity.is_isolated is is_isolated
    assert changes == ([True] if is_isolated else [])


def test_checks_at_the_same_time_ask_once(monkeypatch):
    monkeypatch.setattr(module, "now_ms", lambda: 1_000.0)
    asked: list[int] = []

    def answers(address: tuple[str, int], _timeout_ms: float) -> bool:
        asked.append(address[1])
        gevent.sleep(0.01)
        return False

    connectivity = ServerConnectivity(
        ConnectivitySources(lambda _limit: servers(1), answers, lambda _isolated: None)
    )
    checks = [gevent.spawn(connectivity.check) for _ in range(3)]
    gevent.joinall(checks)
    assert [one.value for one in checks] == [True] * 3
    assert asked == [0]
