"""Request digests depend on the content and the caller, not on the request id."""

import pytest

from sparline._ids import RequestId
from sparline.quarantine import digest_of
from sparline.requests import Origin, RoutedRequest

HEADERS = [(b"host", b"h.example"), (b"authorization", b"Bearer k1"), (b"x-try", b"1")]


def request(**changes: object) -> RoutedRequest:
    fields = {
        "request_id": RequestId("r1"),
        "route": None,
        "service": "engines",
        "method": b"POST",
        "target": b"/a/b?c=1",
        "headers": HEADERS,
        "body": b"abc",
        "prompt": None,
        "resume_after": None,
        "deadline_at_ms": 0.0,
        "origin": Origin.CALLER,
    }
    return RoutedRequest(**(fields | changes))


SAME = [
    ("another id", {"request_id": RequestId("r2")}),
    ("another deadline", {"deadline_at_ms": 5.0}),
    ("relayed by a peer", {"origin": Origin.RELAY}),
    ("a resumed stream", {"resume_after": 7}),
    ("another header", {"headers": [*HEADERS[:2], (b"x-try", b"2")]}),
]
OTHER = [
    ("another body", {"body": b"abd"}),
    ("another path", {"target": b"/a/c?c=1"}),
    ("another query", {"target": b"/a/b?c=2"}),
    ("another method", {"method": b"PUT"}),
    ("another host", {"headers": [(b"host", b"i.example"), *HEADERS[1:]]}),
    ("another caller", {"headers": [HEADERS[0], (b"authorization", b"Bearer k2")]}),
    ("bytes moved from body to target", {"target": b"/a/b?c=1a", "body": b"bc"}),
]


@pytest.mark.parametrize("changes", [row[1] for row in SAME], ids=[row[0] for row in SAME])
def test_repeat_has_the_same_digest(changes):
    assert request(**changes).digest() == request().digest()


@pytest.mark.parametrize("changes", [row[1] for row in OTHER], ids=[row[0] for row in OTHER])
def test_different_request_has_a_different_digest(changes):
    assert request(**changes).digest() != request().digest()


def test_digest_is_stable_across_versions():
    assert digest_of([b"a", b"bc"]).hex() == "f657d58ed59382298356d21c95353a31"
