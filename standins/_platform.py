"""Stand-in for the platform: configuration, fleet list, directory and weight store."""

import json
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

import gevent
from gevent.event import Event

from sparline._clock import now_ms
from sparline._wsgi import Environ, StartResponse, answer_json, make_server, query_of
from standins._routes import Routes, read_json

FLEET_PREFIX = "fleet/"


@dataclass(frozen=True, slots=True)
class PublishedRecord:
    """Hold one version of one record."""

    name: str  # key in the configuration service
    revision: int  # order over all records
    body: str | None  # None for a removed record


class Platform:
    """Publish records to readers; count each call, a waiting watch as one."""

    def __init__(self, ip: str, port: int, weights_per_s: float = 2.0) -> None:
        """Set up the paths; `start` opens the port."""
        self.log: list[PublishedRecord] = []  # every version ever published
        self.calls: Counter[str] = Counter()  # calls by service
        self.callers: Counter[str] = Counter()  # calls by reader
        self.outage = False  # whether all services are down
        self.cut_zones: set[str] = set()  # zones that can't reach the platform
        self.cut_readers: set[str] = set()  # instances that can't reach it
        self.stale_at_revision: int | None = None  # what readers are held back to
        self.fleet_lag_ms = 0.0  # delay of the fleet list
        self.address = (ip, port)  # where it listens
        self._weights_per_s = weights_per_s
        self._weights_free_at_ms = 0.0
        self._changed = Event()
        self._server = make_server(ip, port, self._routes())

    def start(self) -> None:
        """Open the port."""
        self._server.start()

    def stop(self) -> None:
        """Close the port."""
        self._server.stop(timeout=0.1)

    @property
    def revision(self) -> int:
        """Return the newest revision."""
        return self.log[-1].revision if self.log else 0

    def publish(self, name: str, body: str | None) -> int:
        """Publish one version of a record; return its revision."""
        record = PublishedRecord(name, self.revision + 1, body)
        self.log.append(record)
        self._changed.set()
        self._changed = Event()
        return record.revision

    def publish_member(self, member: dict) -> None:
        """Publish a fleet entry once the list's lag is over."""
        body = json.dumps(member)
        name = FLEET_PREFIX + member["id"]
        if self.fleet_lag_ms:
            gevent.spawn_later(self.fleet_lag_ms / 1000, self.publish, name, body)
        else:
            self.publish(name, body)

    def _routes(self) -> Routes:
        routes = Routes()
        routes.add("GET", "/records", self._get_records)
        routes.add("GET", "/directory", self._get_directory)
        routes.add("GET", "/weights", self._get_weights)
        routes.add("POST", "/control/publish", self._control_publish)
        routes.add("POST", "/control/member", self._control_member)
        routes.add("POST", "/control/faults", self._control_faults)
        routes.add("GET", "/control/calls", self._control_calls)
        return routes

    def _down_for(self, environ: Environ) -> bool:
        query = query_of(environ)
        cut = query.get("zone") in self.cut_zones or query.get("reader") in self.cut_readers
        return self.outage or cut

    def _get_records(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        query = query_of(environ)
        self.calls["records"] += 1
        self.callers[query.get("reader", "")] += 1
        since = int(query.get("since", "0"))
        give_up_ms = now_ms() + float(query.get("wait_ms", "0"))
        while not self._down_for(environ):
            shown = self._shown_revision()
            left_ms = give_up_ms - now_ms()
            if shown > since or left_ms <= 0:
                return answer_json(start_response, self._records_between(since, shown))
            self._changed.wait(min(left_ms, 200.0) / 1000)
        return _unavailable(start_response)

    def _shown_revision(self) -> int:
        if self.stale_at_revision is None:
            return self.revision
        return min(self.stale_at_revision, self.revision)

    def _records_between(self, since: int, shown: int) -> dict:
        newest: dict[str, PublishedRecord] = {}
        for record in self.log:
            if record.revision <= shown:
                newest[record.name] = record
        records = [
            {"name": one.name, "revision": one.revision, "body": one.body}
            for one in newest.values()
            if one.revision > since
        ]
        return {"revision": shown, "records": records}

    def _get_directory(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        self.calls["directory"] += 1
        if self._down_for(environ):
            return _unavailable(start_response)
        records = self._records_between(0, self._shown_revision())["records"]
        members = [
            json.loads(one["body"])
            for one in records
            if one["name"].startswith(FLEET_PREFIX) and one["body"]
        ]
        instances = [
            {
                "ip": one["ip"],
                "port": one["callers_port"],
                "region": one["region"],
                "availability_zone": one["availability_zone"],
            }
            for one in members
            if one["role"] == "instance" and one["state"] == "live"
        ]
        return answer_json(start_response, {"instances": instances})

    def _get_weights(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        self.calls["weights"] += 1
        if self._down_for(environ):
            return _unavailable(start_response)
        now = now_ms()
        if now < self._weights_free_at_ms:
            wait_ms = int(self._weights_free_at_ms - now) + 1
            self.calls["weights_refused"] += 1
            return answer_json(start_response, {"retry_after_ms": wait_ms}, "429 Too Many Requests")
        self._weights_free_at_ms = now + 1000 / self._weights_per_s
        return answer_json(start_response, {"weights": query_of(environ).get("name", "")})

    def _control_publish(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        wanted = read_json(environ)
        return answer_json(
            start_response, {"revision": self.publish(wanted["name"], wanted["body"])}
        )

    def _control_member(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        self.publish_member(read_json(environ))
        return answer_json(start_response, {})

    def _control_faults(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        wanted = read_json(environ)
        self.outage = wanted.get("outage", self.outage)
        self.cut_zones = set(wanted.get("cut_zones", self.cut_zones))
        self.stale_at_revision = wanted.get("stale_at_revision", self.stale_at_revision)
        self.fleet_lag_ms = wanted.get("fleet_lag_ms", self.fleet_lag_ms)
        return answer_json(start_response, {})

    def _control_calls(self, _environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        return answer_json(start_response, {"calls": self.calls, "readers": self.callers})


def _unavailable(start_response: StartResponse) -> list[bytes]:
    return answer_json(start_response, {"error": "outage"}, "503 Service Unavailable")
