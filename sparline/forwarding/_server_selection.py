"""Selection of the backend server that gets the next attempt at a request."""

from sparline._ids import BackendServerId, SoftwareVersion
from sparline.forwarding._attempt_types import Progress
from sparline.placement import Chooser, Doubt, Placement, Refusal
from sparline.requests import RoutedRequest


class ServerSelection:
    """Select servers for the attempts at one request, or reserve one while an attempt goes on."""

    def __init__(self, chooser: Chooser, request: RoutedRequest, progress: Progress) -> None:
        """Select by what the attempts so far have shown."""
        self._chooser = chooser
        self._request = request
        self._progress = progress
        self._reserved: Placement | None = None
        self._next_left_server: BackendServerId | None = None
        # Unresponsive server that the request has left for the selected one, None without one.
        self.left_server: BackendServerId | None = None
        # Version at which alone a stream can go on that an earlier answer began, None for any.
        self.resumed_version = request.software_version

    @property
    def has_reserved(self) -> bool:
        """Tell whether a server is reserved for the next attempt."""
        return self._reserved is not None

    def select(self, is_suspect: bool) -> Placement | Refusal:
        """Return the reserved server if there is one, otherwise the best one for a new attempt."""
        reserved, self._reserved = self._reserved, None
        self.left_server, self._next_left_server = self._next_left_server, None
        if reserved is not None:
            return reserved
        return self._choose(self._excluded(), is_suspect)

    def find_alternative(self, current: Placement) -> Placement | None:
        """Return another server without any sign of trouble, None if there is none."""
        found = self._choose(self._excluded() | {current.server.id}, is_suspect=False)
        if isinstance(found, Refusal) or found.doubt is not Doubt.NONE:
            return None
        return found

    def reserve(self, placement: Placement, left_server: BackendServerId | None = None) -> None:
        """Reserve a server for the next attempt, for which a retry was taken from the budget.

        `left_server` is the unresponsive one that the request leaves for it, if any.
        """
        self._reserved = placement
        self._next_left_server = left_server

    def required_version(self) -> SoftwareVersion | None:
        """Return the software version at which alone the stream can go on, None for any."""
        if self._progress.caller_answer.has_begun:
            return self._progress.software_version
        return self.resumed_version

    def _excluded(self) -> frozenset[BackendServerId]:
        excluded = frozenset(BackendServerId(one) for one in self._progress.excluded)
        left_server = self._request.left_server
        return excluded if left_server is None else excluded | {left_server}

    def _choose(
        self, excluded: frozenset[BackendServerId], is_suspect: bool
    ) -> Placement | Refusal:
        has_begun = self._progress.caller_answer.has_begun
        return self._chooser.choose(
            self._request,
            excluded,
            has_begun,
            is_suspect,
            # A stream that has begun is never refused by the admission level.
            frozenset() if has_begun else self._request.closed_regions,
            self.required_version(),
        )
