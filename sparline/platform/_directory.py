"""HTTP applications for callers that look up instances, and for readiness checks."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from sparline._ids import RegionName, ZoneName
from sparline._wsgi import Environ, StartResponse, answer_json, query_of
from sparline.platform import _names as names

# How long callers may use a list of addresses (s). It is short, so that callers drop an instance
# that is leaving before its grace period ends.
TTL_S = 1


@dataclass(frozen=True, slots=True)
class DirectoryQuery:
    """Hold a caller's query for the instances to use."""

    host: str  # host that the caller wants to reach
    region: RegionName  # region of the caller
    zone: ZoneName  # availability zone of the caller


FindInstances = Callable[[DirectoryQuery], list[str]]


def make_directory_app(
    find_instances: FindInstances,
) -> Callable[[Environ, StartResponse], Iterable[bytes]]:
    """Return the WSGI application that lists instances for callers."""

    def app(environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        if environ["PATH_INFO"] != names.RESOLVE:
            error = {"error": f"expected {names.RESOLVE}, found {environ['PATH_INFO']}"}
            return answer_json(start_response, error, "404 Not Found")
        fields = query_of(environ)
        query = DirectoryQuery(
            host=fields.get("name", "").lower(),
            region=RegionName(fields.get("region", "")),
            zone=ZoneName(fields.get("zone", "")),
        )
        addresses = find_instances(query)
        if not addresses:
            error = {"error": "no instance is known to be ready"}
            return answer_json(start_response, error, "503 Service Unavailable")
        return answer_json(start_response, {"addresses": addresses, "ttl_s": TTL_S})

    return app


def make_readiness_app(
    is_ready: Callable[[], bool],
) -> Callable[[Environ, StartResponse], Iterable[bytes]]:
    """Return the WSGI application that reports whether this instance accepts requests."""

    def app(environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        if environ["PATH_INFO"] != names.READINESS:
            error = {"error": f"expected {names.READINESS}, found {environ['PATH_INFO']}"}
            return answer_json(start_response, error, "404 Not Found")
        status = "200 OK" if is_ready() else "503 Service Unavailable"
        return answer_json(start_response, {}, status)

    return app
