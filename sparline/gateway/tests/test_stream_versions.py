"""What an instance takes to be the software version of a stream that its caller resumes."""

from collections.abc import Iterable

import pytest

from sparline.fleet import Members, StreamVersionDatagram
from sparline.gateway import _stream_versions
from sparline.gateway._stream_versions import (
    FoundVersion,
    StreamVersions,
    StreamVersionSources,
    VersionSource,
)
from sparline.requests import Origin
from sparline.schema._gossip import (
    Gossip,
    MemberNote,
    MemberPhase,
    StreamVersionNews,
    StreamVersionQuery,
    StreamVersionReply,
)
from sparline.tests.fake_fleet import FakeVersions
from sparline.tests.routed import make_request

OWN, SIBLING = (
    MemberNote(ip, ip, 1, 1, MemberPhase.live, "north", "north-1")
    for ip in ("10.1.0.1", "10.1.0.2")
)
REQUEST = make_request(resume_after=3, resumes="r0")


class Instance:
    """Run the lookup of one instance; its sibling replies with some versions, or not at all."""

    def __init__(
        self,
        known: str,
        replied: str | None,
        is_outdated: bool = False,
        is_store_reached: bool = True,
        is_first_start: bool = True,
        is_sibling_complete: bool = False,
    ) -> None:
        self.sent: list[StreamVersionDatagram] = []
        self.logged: list[FoundVersion] = []
        self._replied = replied
        self._is_sibling_complete = is_sibling_complete
        members = Members(OWN)
        members.take(Gossip(SIBLING, 1, True, [], [], [], [], False))
        sources = StreamVersionSources(
            self._send,
            lambda: is_outdated,
            lambda: is_store_reached,
            lambda _request, found, _waited_ms: self.logged.append(found),
        )
        versions = FakeVersions(frozenset(known.split()))
        self.streams = StreamVersions(members, versions, sources, is_first_start)

    def _send(self, datagrams: Iterable[StreamVersionDatagram]) -> None:
        for one in datagrams:
            self.sent.append(one)
            if isinstance(one.message, StreamVersionQuery) and self._replied is not None:
                stream = one.message.stream
                reply = StreamVersionReply(
                    SIBLING.ip, stream, None, self._replied.split(), self._is_sibling_complete
                )
                self.streams.exchange.take(reply)


RESTARTED = {"is_first_start": False}
OUTDATED = {"is_outdated": True}
CUT_OFF = {"is_outdated": True, "is_store_reached": False}
UNRECORDED = [
    # name, versions known here, versions that the sibling knows, situation, version taken, asked
    ("one version", "v1", "v1", {}, "v1", False),
    ("two versions", "v1 v2", "v1 v2", {}, None, True),
    ("no servers", "", "", {}, None, True),
    ("one version here, two at the sibling", "v1", "v1 v2", OUTDATED, None, True),
    ("one version, by an older state of the store", "v1", "v1", OUTDATED, "v1", True),
    ("one version, after a restart", "v1", "v1", RESTARTED, "v1", True),
    ("one version, another was there before the restart", "v2", "v1 v2", RESTARTED, None, True),
    ("one version, nobody replies but the store", "v1", None, RESTARTED, "v1", True),
    ("one version, cut off from all", "v1", None, CUT_OFF, None, True),
    ("one version, without the store, with a sibling", "v1", "v1", CUT_OFF, "v1", True),
]


@pytest.mark.parametrize("row", UNRECORDED, ids=[row[0] for row in UNRECORDED])
def test_stream_without_record_is_taken_at_the_only_version(monkeypatch, row):
    _, known, replied, situation, expected, is_asked = row
    monkeypatch.setattr(_stream_versions, "REPLY_TIMEOUT_MS", 1.0)
    instance = Instance(known, replied, **situation)
    assert instance.streams.find(REQUEST) == expected
    assert bool(instance.sent) is is_asked
    source = VersionSource.UNKNOWN if expected is None else VersionSource.ONLY
    assert instance.logged == [FoundVersion(expected, source)]


def test_recorded_stream_is_known_without_asking():
    instance = Instance("v1 v2", None)
    instance.streams.note_begun(make_request(request_id="r0"), "v2")
    (told,) = instance.sent
    assert isinstance(told.message, StreamVersionNews)
    assert instance.streams.find(REQUEST) == "v2"
    assert len(instance.sent) == 1


def test_resumed_stream_is_recorded_under_the_try_that_began_it():
    instance = Instance("v1 v2", None)
    instance.streams.note_begun(make_request(request_id="r1", resume_after=3, resumes="r0"), "v2")
    assert (
        instance.streams.find(make_request(request_id="r2", resume_after=5, resumes="r0")) == "v2"
    )


def test_relayed_stream_is_recorded_and_told_to_nobody():
    instance = Instance("v1 v2", None)
    instance.streams.note_begun(make_request(request_id="r0", origin=Origin.RELAY), "v2")
    assert instance.streams.find(REQUEST) == "v2"
    assert instance.sent == []


def test_stream_of_another_service_is_unknown():
    instance = Instance("v1 v2", None)
    instance.streams.note_begun(make_request(request_id="r0", service="other"), "v2")
    assert instance.streams.find(REQUEST) is None


@pytest.mark.parametrize(("is_sibling_complete", "asked"), [(True, 1), (False, 3)])
def test_restarted_instance_asks_until_one_that_knows_all_versions_replies(
    is_sibling_complete, asked
):
    instance = Instance("v1", "v1", is_sibling_complete=is_sibling_complete, **RESTARTED)
    for _ in range(3):
        assert instance.streams.find(REQUEST) == "v1"
    assert len(instance.sent) == asked


def test_instance_tells_whether_it_knows_all_versions():
    query = StreamVersionQuery(SIBLING.ip, 7, "engines")
    for situation, is_complete in (({}, True), (RESTARTED, False), (OUTDATED, False)):
        (reply,) = Instance("v1", None, **situation).streams.exchange.take(query)
        assert reply.message.complete is is_complete
