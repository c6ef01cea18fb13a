"""Tests that read limits follow the configuration in force."""

from types import SimpleNamespace

from sparline.gateway._connection_bounds import ConnectionBounds
from sparline.gateway._service import Service
from sparline.http import MAX_HEADERS, HeldBytes
from sparline.requests import Origin
from sparline.routes import DEFAULT_LIMITS


def changed(**changes):
    fields = {name: getattr(DEFAULT_LIMITS, name) for name in DEFAULT_LIMITS.__dataclass_fields__}
    return SimpleNamespace(limits=SimpleNamespace(**fields | changes))


def test_limits_follow_the_configuration_in_force():
    # The limits are cached between requests, and a new configuration must replace them.
    fleet = SimpleNamespace(configuration=None)
    service = Service(fleet, *[None] * 8, ConnectionBounds(HeldBytes(), 60_000, 10, None))
    assert service._limits(Origin.CALLER).max_body_bytes == DEFAULT_LIMITS.max_body_bytes
    for size in (10, 20):
        fleet.configuration = changed(max_body_bytes=size, max_head_bytes=size)
        for _ in range(2):
            assert service._limits(Origin.CALLER).max_body_bytes == size
            assert service._limits(Origin.RELAY).max_head_bytes == 2 * size
            assert service._limits(Origin.CALLER).max_head_bytes == size
            assert service._limits(Origin.RELAY).max_headers == 2 * MAX_HEADERS
            assert service._limits(Origin.CALLER).max_headers == MAX_HEADERS
