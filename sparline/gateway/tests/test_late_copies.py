"""Tests that late copies of refusals, in whatever form, prove nothing about another request."""

import pytest

from sparline.gateway.tests.test_copied_refusals import (
    ROUNDS,
    ask_until_run,
    assert_is_true,
    fleet,  # noqa: F401
    refuse_next,
)
from standins import RefusalCopies

# What a copy states of its server must not be believed: the service would refuse nearly all.
OLD_STATE = b"Server-Limit: 0.01\r\nServer-Leaving: 1\r\nRetry-After: 60\r\n"


def with_status(copy: bytes, status: int) -> bytes:
    seal = b"Response-Seal: seal-of-it\r\nContent-Length: 2"
    copy = copy.replace(b" 503 ", b" %d " % status).replace(b"Not-Executed: 1\r\n", b"")
    return copy.replace(b"Content-Length: 0", seal) + b"ok"


def without_id(copy: bytes) -> bytes:
    lines = copy.split(b"\r\n")
    return b"\r\n".join(line for line in lines if not line.startswith(b"Attempt-Id"))


FORMS = {
    "several": lambda copy: copy * 3,
    "as 200": lambda copy: with_status(copy, 200),
    "as 500": lambda copy: with_status(copy, 500),
    "as 421": lambda copy: copy.replace(b" 503 ", b" 421 "),
    "as 421 without id": lambda copy: without_id(copy.replace(b" 503 ", b" 421 ")),
    "interim first": lambda copy: b"HTTP/1.1 103 Hints\r\nNot-Executed: 1\r\n\r\n" + copy,
    "both with and without id": lambda copy: without_id(copy) + copy,
}


class FormedCopies(RefusalCopies):
    """Send copies in another form, with a state of the server that no longer holds."""

    form = staticmethod(lambda copy: copy)

    def refuse(self, connection, head):
        super().refuse(connection, head)
        if connection in self._owed:
            self._owed[connection] = self.form(head.replace(b"\r\n", b"\r\n" + OLD_STATE, 1))


@pytest.mark.parametrize("form", FORMS)
def test_late_copy_in_any_form_proves_nothing(fleet, form):  # noqa: F811
    copies = FormedCopies()
    copies.form = FORMS[form]
    for server in fleet.servers.values():
        server.copies = copies
    for number in range(ROUNDS):
        refuse_next(fleet, 3)
        request_id = f"r{number}"
        got = ask_until_run(fleet, "/unsafe/x", request_id)
        assert got.status == 200
        assert_is_true(fleet, request_id, got)
    assert copies.sent
