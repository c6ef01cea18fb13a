"""Collects at a planned stop how long requests took at other instances."""

import random

import gevent
from result import Err, Ok

from sparline._cbor import unpack
from sparline._clock import now_ms
from sparline._logging import log
from sparline.fleet import Member, Members
from sparline.gateway._peer_answers import RUN_TIMES_TARGET
from sparline.gateway._peer_calls import CallRefused, call_peer
from sparline.gateway._run_times import RunKey, RunTimes, RunTimeTable
from sparline.http import ConnectionBroken
from sparline.routes import RouteName, ServiceName
from sparline.schema import _gossip

# Most instances that are asked, those of the own region first (count): each adds its requests of the
# last minute.
MAX_ASKED = 12
# Timeout of an answer (ms): a round trip between regions. Later answers are of little use, because
# most late requests arrive in the first seconds of a stop.
ANSWER_TIMEOUT_MS = 1_000.0
# Longest answer: some thousand routes. All peers that are asked answer at the same time.
MAX_ANSWER_BYTES = 262_144


class RunTimeCollection:
    """Ask other instances for the times of their requests."""

    def __init__(self, members: Members, table: RunTimeTable, relay_port: int) -> None:
        """Collect into a table."""
        self._members = members
        self._table = table
        self._relay_port = relay_port
        self._rng = random.Random()

    def start(self) -> None:
        """Ask in the background."""
        for peer in self._peers_to_ask():
            gevent.spawn(self._ask, peer)

    def _peers_to_ask(self) -> list[Member]:
        own = self._members.own
        peers = [one for one in self._members.others() if self._members.is_heard(one)]
        self._rng.shuffle(peers)
        peers.sort(key=lambda one: one.note.region != own.region)
        return peers[:MAX_ASKED]

    def _ask(self, peer: Member) -> None:
        began_at_ms = now_ms()
        result = self._take(peer)
        took_ms = round(now_ms() - began_at_ms)
        log.bind(peer=peer.note.name, result=result, took_ms=took_ms).info("run_times_asked")

    def _take(self, peer: Member) -> str:
        """Take the times of a peer; return how many keys they have, or why there are none."""
        limit = gevent.Timeout(ANSWER_TIMEOUT_MS / 1000)
        try:
            with limit:
                content = call_peer(
                    peer, self._relay_port, RUN_TIMES_TARGET, ANSWER_TIMEOUT_MS, MAX_ANSWER_BYTES
                )
        except gevent.Timeout as timeout:
            if timeout is not limit:
                raise
            return "silent"
        except (OSError, ConnectionBroken) as error:
            return f"unreachable: {error}"
        except CallRefused as error:
            return f"bad answer: {error}"
        match unpack(content, _gossip.RunTimes):
            case Ok(answer):
                for note in answer.notes:
                    self._table.note_peer_times(*_decode(note))
                return f"{len(answer.notes)} keys"
            case Err(reason):
                return f"bad answer: {reason}"
        raise AssertionError("a result is either Ok or Err")


def _decode(note: _gossip.RunTimeNote) -> tuple[RunKey, RunTimes]:
    key = RunKey(RouteName(note.route), ServiceName(note.service), note.is_first_event)
    return key, RunTimes(note.times, float(note.longest_ms), float(note.oldest_ms))
