"""Tests of answers that the store, or something before it, sends without being asked."""

import json

import gevent
import pytest
from gevent.server import StreamServer

from sparline.http import RequestParser
from sparline.platform import StoreHttpClient

OLD, NEW = 5, 9
PATIENCE_MS = 10_000.0


def answer_of(revision: int) -> bytes:
    """Return a whole answer to either call at a revision."""
    body = json.dumps({"items": [], "events": [], "timestamp": revision}).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


class CopyingStore:
    """Answer each call; after the first one, send a copy of its answer some time later."""

    def __init__(self) -> None:
        self.calls = 0
        self.copied = gevent.event.Event()
        self.server = StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()

    def _serve(self, connection, _address) -> None:
        parser = RequestParser()
        while data := connection.recv(65_536):
            parser.feed(data)
            while parser.requests and parser.requests[0].complete:
                parser.requests.pop(0)
                self.calls += 1
                connection.sendall(answer_of(OLD if self.calls == 1 else NEW))
                if self.calls == 1:
                    gevent.sleep(0.05)
                    connection.sendall(answer_of(OLD))
                    self.copied.set()


@pytest.fixture
def store():
    one = CopyingStore()
    yield one
    one.server.stop(timeout=0)


CALLS = {
    "list": lambda client: client.read_all(PATIENCE_MS),
    "watch": lambda client: client.watch(OLD, 0, PATIENCE_MS),
    "evacuations": lambda client: client.evacuation_changes(OLD, PATIENCE_MS),
}


@pytest.mark.parametrize("call", CALLS.values(), ids=CALLS)
def test_copy_of_an_old_answer_is_not_the_answer_to_the_next_call(store, call):
    """Guards against a store that seems to stand still, or to go back, for want of a check."""
    client = StoreHttpClient(store.server.address)
    assert client.read_all(PATIENCE_MS).unwrap().position.revision == OLD
    assert store.copied.wait(PATIENCE_MS / 1000)
    assert call(client).unwrap().position.revision == NEW
