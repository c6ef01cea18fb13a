"""Reads from a backend server or peer that notice when no response can be expected any more."""

from collections.abc import Callable
from typing import TypeVar

import gevent

from sparline._clock import now_ms
from sparline.forwarding._attempt_types import AttemptDependencies
from sparline.http import ConnectionBroken
from sparline.placement import Placement
from sparline.requests import RoutedRequest
from sparline.routes import RequestKind

# Interval at which a pending read checks whether the server is still alive (ms).
LIVENESS_CHECK_INTERVAL_MS = 400.0
# Timeout of a non-streaming response that can be retried elsewhere, as a multiple of the service's
# typical response time. Healthy services answer nearly all requests within seven times their mean.
PLAIN_ANSWER_TIMEOUT_FACTOR = 8.0

ReadResult = TypeVar("ReadResult")


class ServerUnresponsive(Exception):
    """Signal that a backend server has become unresponsive."""


class DeadlinePassed(Exception):
    """Signal that the deadline passed while the machine was suspended, so that no timer fired."""


class LivenessChecks:
    """Wait for the response of one attempt, and stop if its server has exited or is unresponsive."""

    def __init__(
        self,
        dependencies: AttemptDependencies,
        request: RoutedRequest,
        placement: Placement,
        reserve_alternative: Callable[[], bool],
    ) -> None:
        """Set the attempt that the checks are for.

        `reserve_alternative` reserves all that another attempt needs, and returns False without it.
        """
        self._dependencies = dependencies
        self._request = request
        self._placement = placement
        self._reserve_alternative = reserve_alternative

    def read(self, read: Callable[[], ReadResult]) -> ReadResult:
        """Retry the read until it returns, checking at intervals that the server is still alive."""
        started_at_ms = now_ms()
        while True:
            check_timeout = gevent.Timeout(LIVENESS_CHECK_INTERVAL_MS / 1000)
            try:
                with check_timeout:
                    return read()
            except gevent.Timeout as timeout:
                if timeout is not check_timeout:
                    raise
                self._check(now_ms() - started_at_ms)

    def _check(self, waited_ms: float) -> None:
        """Raise if the server has exited, or is unresponsive and the request is about to move."""
        if self._placement.peer is None and self._dependencies.has_ended(self._placement.server.id):
            raise ConnectionBroken("the backend server restarted and lost this request")
        if self._request.left_ms() <= 0:
            # Timers stop while the machine is suspended, but the clock does not.
            raise DeadlinePassed
        if self._is_overdue(waited_ms) and self._reserve_alternative():
            raise ServerUnresponsive

    def _is_overdue(self, waited_ms: float) -> bool:
        """Tell whether a healthy server would have sent something by now."""
        if self._request.route.kind is RequestKind.STREAM:
            return self._dependencies.health.is_unresponsive(self._placement.server.id)
        typical_ms = self._dependencies.pace.answer_ms(self._request.service)
        return waited_ms > PLAIN_ANSWER_TIMEOUT_FACTOR * typical_ms
