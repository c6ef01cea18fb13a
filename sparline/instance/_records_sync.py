"""Records between instances: pushed inside the region, pulled where something is missing."""

from collections.abc import Callable

from websockets.exceptions import ConnectionClosed, ConnectionClosedOK
from websockets.sync.connection import Connection

from sparline._ids import InstanceId, RecordName, Revision
from sparline._logging import log
from sparline._metrics import Metrics
from sparline.declarations import Record, RecordStore, RecordVerdict
from sparline.peers import Dialer, Membership, PeerLink, Scope, decode, encode, next_hops, scope_of
from sparline.schema._messages import (
    Heartbeat,
    Hello,
    LinkPurpose,
    Records,
    RecordsPull,
    WireRecord,
)
from sparline.schema._settings import Address

# Content of one message; a single larger record goes alone.
PART_BYTES = 500_000
# So many heartbeats with another digest at the same revision ask for everything.
MISMATCHES = 4

_CHANGES = (RecordVerdict.IN_FORCE, RecordVerdict.REFUSED, RecordVerdict.REMOVED)


class RecordsSync:
    """Bring every instance the newest version of every record."""

    def __init__(
        self,
        store: RecordStore,
        membership: Membership,
        metrics: Metrics,
        dialer: Dialer,
        changed: Callable[[], None],
    ) -> None:
        """Call `changed` after records came into force."""
        self._store = store
        self._membership = membership
        self._metrics = metrics
        self._dialer = dialer
        self._changed = changed
        self._asked_for_all: set[str] = set()
        self._mismatches: dict[InstanceId, int] = {}

    def take_from_platform(self, records: tuple[Record, ...], revision: Revision) -> None:
        """Take what the platform answered, complete up to a revision, and push it on."""
        before = self._store.complete_revision
        news = self._offer(records, "platform")
        self._store.complete_up_to(revision)
        if news:
            self._push(records, before, revision, Scope.SELF)

    def _offer(self, records: tuple[Record, ...], source: str) -> list[Record]:
        news = []
        for record in records:
            verdict = self._store.offer(record)
            self._metrics.records.labels(source, verdict.value).inc()
            if verdict in _CHANGES:
                news.append(record)
            if verdict is RecordVerdict.CONFLICT:
                log.error(
                    "records: {} revision {} came with other content from {}",
                    record.name,
                    record.revision,
                    source,
                )
            if verdict is RecordVerdict.REFUSED:
                log.warning("records: {} revision {} refused", record.name, record.revision)
        if news:
            self._changed()
        return news

    def _push(
        self, records: tuple[Record, ...], since: Revision, complete: Revision, came_from: Scope
    ) -> None:
        """Push every record after a revision, not the new ones alone: a peer may lack the others."""
        later = [record for record in records if record.revision > since]
        links = next_hops(self._membership, came_from, about_own_region=False)
        for message in _messages(later, since, complete):
            for link in links:
                link.send(message)

    def take(self, link: PeerLink, message: Records) -> None:
        """Take records that a peer sent and push on what was new."""
        since = max(self._store.complete_revision, Revision(message.since_revision))
        records = _as_records(message)
        news = self._offer(records, "peer")
        self._note_complete(message)
        if news:
            came_from = scope_of(self._membership.self_hello, link.peer)
            self._push(records, since, Revision(message.complete_revision), came_from)

    def _note_complete(self, message: Records) -> None:
        if message.since_revision <= self._store.complete_revision:
            self._store.complete_up_to(Revision(message.complete_revision))

    def answer_pull(self, link: PeerLink, pull: RecordsPull) -> None:
        """Send what a peer is missing."""
        for message in self._answer(Revision(pull.since_revision)):
            link.send(message)

    def _answer(self, since: Revision) -> list[Records]:
        return _messages(self._store.newer_than(since), since, self._store.complete_revision)

    def compare(self, link: PeerLink, beat: Heartbeat) -> None:
        """Ask a peer for what its heartbeat shows that it has and we have not."""
        peer_id = InstanceId(link.peer.instance_id)
        if beat.complete_revision > self._store.complete_revision:
            link.send(RecordsPull(self._store.complete_revision))
        elif self._store.lacks_accepted() and link.peer.incarnation not in self._asked_for_all:
            # A version before a refused one may be in force at the peer.
            self._asked_for_all.add(link.peer.incarnation)
            link.send(RecordsPull(0))
        elif (
            beat.complete_revision == self._store.complete_revision
            and beat.digest != self._store.digest
        ):
            self._note_mismatch(link, peer_id)
        else:
            self._mismatches.pop(peer_id, None)

    def _note_mismatch(self, link: PeerLink, peer_id: InstanceId) -> None:
        count = self._mismatches.get(peer_id, 0) + 1
        self._mismatches[peer_id] = count
        if count % MISMATCHES == 0:
            self._metrics.records.labels("peer", "digest_mismatch").inc()
            log.warning(
                "records: {} holds other content up to revision {}",
                peer_id,
                self._store.complete_revision,
            )
            link.send(RecordsPull(0))

    def pull_from_seeds(self, seeds: list[Address]) -> bool:
        """Read all records from the first seed peer that answers; tell whether one did."""
        return any(self._pull_from(seed) for seed in seeds)

    def _pull_from(self, seed: Address) -> bool:
        own = self._membership.self_hello
        hello = Hello(
            own.instance_id,
            own.incarnation,
            own.region,
            own.availability_zone,
            LinkPurpose.records,
        )
        opened = self._dialer.dial(seed, hello, None)
        if opened.is_err():
            return False
        connection, peer = opened.unwrap()
        try:
            if peer.instance_id == own.instance_id:
                return False
            connection.send(encode(RecordsPull(0)))
            self._read_pulled(connection)
        except (OSError, ConnectionClosed, TimeoutError) as error:
            log.debug("records: seed {}:{} broke off: {}", seed.ip, seed.port, error)
        finally:
            connection.close()
        return bool(self._store.in_force())

    def _read_pulled(self, connection: Connection) -> None:
        """Read records until the peer has sent all and closes."""
        while True:
            try:
                message = decode(connection.recv(timeout=self._dialer.timeout_ms / 1000))
            except ConnectionClosedOK:
                return
            if not isinstance(message.ok(), Records):
                return
            self._offer(_as_records(message.unwrap()), "seed")
            self._note_complete(message.unwrap())

    def serve(self, connection: Connection) -> None:
        """Answer one pull of an instance that starts."""
        connection.send(encode(self._membership.self_hello))
        message = decode(connection.recv(timeout=self._dialer.timeout_ms / 1000))
        if isinstance(message.ok(), RecordsPull):
            for part in self._answer(Revision(message.unwrap().since_revision)):
                connection.send(encode(part))


def _as_records(message: Records) -> tuple[Record, ...]:
    return tuple(
        Record(RecordName(one.name), Revision(one.revision), one.body) for one in message.records
    )


def _messages(records: list[Record], since: Revision, complete: Revision) -> list[Records]:
    """Split records into messages; each is complete up to its last record."""
    messages: list[Records] = []
    part: list[WireRecord] = []
    size = 0
    begin = since
    for record in records:
        length = len(record.body or "")
        if part and size + length > PART_BYTES:
            messages.append(Records(begin, part[-1].revision, part))
            begin, part, size = Revision(part[-1].revision), [], 0
        part.append(WireRecord(record.name, record.revision, record.body))
        size += length
    messages.append(Records(begin, max(complete, begin), part))
    return messages
