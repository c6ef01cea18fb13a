"""Faults that a stand-in shows on demand."""

import contextlib
import socket
from dataclasses import dataclass, fields
from enum import Enum
from typing import Any

import gevent

from sparline._wsgi import SOCKET_KEY, AnswerCut, Environ


class FaultAction(Enum):
    """Say what is left to do for a request after the faults before its run."""

    SERVE = "serve"
    REFUSE = "refuse"


@dataclass(slots=True)
class Faults:
    """Hold the faults that are switched on; zero and False are off."""

    delay_ms: float = 0  # wait before a request is looked at
    late_ms: float = 0  # wait after the run, before the answer
    refuse: bool = False  # refuse with proof that nothing ran
    freeze: bool = False  # keep everything waiting
    close_unread: bool = False  # read the request, close, run nothing
    close_after_run: bool = False  # run the request, close without an answer
    cut_after_tokens: int = 0  # close a stream after this many tokens
    remaining: int = -1  # requests that the faults still apply to, -1 for all

    def update(self, changes: dict[str, Any]) -> None:
        """Switch faults as a control request says."""
        known = {field.name for field in fields(self)}
        for name, value in changes.items():
            if name not in known:
                raise ValueError(f"unknown fault {name}")
            setattr(self, name, value)

    def take(self) -> "Faults":
        """Return the faults for one request and count it."""
        if self.remaining == 0:
            return Faults()
        if self.remaining > 0:
            self.remaining -= 1
        return self

    def before_run(self, environ: Environ) -> FaultAction:
        """Show the faults that come before a request's run."""
        if self.delay_ms:
            gevent.sleep(self.delay_ms / 1000)
        while self.freeze:
            gevent.sleep(0.02)
        if self.close_unread:
            close_now(environ)
        return FaultAction.REFUSE if self.refuse else FaultAction.SERVE

    def after_run(self, environ: Environ) -> None:
        """Show the faults that come between a request's run and its answer."""
        if self.late_ms:
            gevent.sleep(self.late_ms / 1000)
        if self.close_after_run:
            close_now(environ)


def close_now(environ: Environ) -> None:
    """Close the connection at once and leave the request."""
    with contextlib.suppress(OSError):
        environ[SOCKET_KEY].shutdown(socket.SHUT_RDWR)
    raise AnswerCut
