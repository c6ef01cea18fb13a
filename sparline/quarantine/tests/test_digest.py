"""What requests have in common: content counts, an id does not."""

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
    ("another time left", {"deadline_at_ms": 5.0}),
    ("by way of a peer", {"origin": Origin.RELAY}),
    ("a stream that goes on", {"resume_after": 7}),
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
def test_a_repeat_has_the_same_digest(changes):
    assert request(**changes).digest() == request().digest()


@pytest.mark.parametrize("changes", [row[1] for row in OTHER], ids=[row[0] for row in OTHER])
def test_another_request_has_another_digest(changes):
    assert request(**changes).digest() != request().digest()


def test_instances_of_all_versions_agree_on_a_digest():
    assert digest_of([b"a", b"bc"]).hex() == "f657d58ed59382298356d21c95353a31"
