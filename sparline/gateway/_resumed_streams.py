"""The software version of a resumed stream, unless another service may have begun it.

A stream without a record is taken to have begun at the service that its route names now. That may
be wrong if the route led to another service until recently, or leads to another one by now without
this instance knowing it.
"""

from collections.abc import Iterator

from result import Err, Result

from sparline._ids import SoftwareVersion
from sparline._logging import log
from sparline.fleet import FleetState, stream_key
from sparline.gateway._request_routing import choose_service
from sparline.gateway._stream_versions import StreamVersions
from sparline.requests import Reason, RoutedRequest
from sparline.routes import ServiceName


class ResumedStreams:
    """Find the versions at which the streams that callers resume can continue."""

    def __init__(self, fleet: FleetState, versions: StreamVersions) -> None:
        """Follow the configuration of a fleet."""
        self._fleet = fleet
        self._versions = versions

    def find_version(self, request: RoutedRequest) -> Result[SoftwareVersion, Reason]:
        """Return the version at which a resumed stream began, or why it is not certain.

        Blocks for some hundred milliseconds at most, if others or the store have to be asked.
        """
        version = self._versions.find(request)
        if version.is_err() or self._has_record(request):
            return version
        # The configuration may have changed while the store was asked.
        others = set(self._services(request)) - {request.service}
        is_complete = self._fleet.former_configurations.are_complete()
        if not others and is_complete:
            return version
        log.bind(
            request_id=request.request_id,
            resumes=request.stream_id,
            service=request.service,
            other_services=sorted(others),
            is_complete=is_complete,
        ).info("stream_service_unknown")
        return Err(Reason.SOFTWARE_VERSION_UNKNOWN)

    def _has_record(self, request: RoutedRequest) -> bool:
        """Return whether a record names the service of a stream, with which it has been compared."""
        return self._versions.exchange.table.find(stream_key(request.stream_id)) is not None

    def _services(self, request: RoutedRequest) -> Iterator[ServiceName]:
        """Yield the services of a stream in each configuration that is or was lately in force.

        Without the id of its first try a split route may have sent it to any of its services.
        """
        path = request.target.decode("latin-1").partition("?")[0]
        for one in (self._fleet.configuration, *self._fleet.former_configurations.recent()):
            route = one.find(request.route.host, path) if one is not None else None
            if route is None:
                continue
            if request.resumes is None:
                yield from (share.service for share in route.shares if share.weight)
            else:
                yield choose_service(route, request.stream_id)
