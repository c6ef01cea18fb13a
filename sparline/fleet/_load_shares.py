"""Choice of the aggregators of each backend server's load, and the shares that they received."""

from dataclasses import dataclass

from sparline._clock import now_ms
from sparline._hashing import hash64
from sparline._ids import BackendServerId
from sparline.fleet._loads import ServerLoad, read_load, sum_loads
from sparline.schema._gossip import LoadShares

# Lifetime of a share that is not sent again (ms): each share is sent again every second.
SHARE_LIFETIME_MS = 2_500.0
# Number of aggregators per server: the first, and a second that takes over if the first is silent.
AGGREGATORS_PER_SERVER = 2


# Rendezvous hash of an instance for one server, and the address of the instance.
_Rank = tuple[int, str]


@dataclass(frozen=True, slots=True)
class ServerSum:
    """Hold the load that other instances put on one backend server."""

    load: ServerLoad  # sum of all shares
    is_doubted: bool  # whether the server recently failed any of them


@dataclass(frozen=True, slots=True)
class _Share:
    """Hold the load that one instance puts on one backend server."""

    at_ms: float  # when it was received
    incarnation: int  # start of the instance's process
    sequence: int  # number of the datagram
    load: ServerLoad  # total load of the instance on the server
    is_doubted: bool  # whether the server recently failed the instance


class ShareTable:
    """Hold the shares of other instances, by backend server."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._shares: dict[BackendServerId, dict[str, _Share]] = {}

    def take(self, message: LoadShares) -> None:
        """Record the shares in a datagram, unless it arrived out of order."""
        now = now_ms()
        for note in message.shares:
            shares = self._shares.setdefault(BackendServerId(note.load.backend_server), {})
            held = shares.get(message.ip)
            if held is not None and _is_out_of_order(message, held):
                continue
            shares[message.ip] = _Share(
                now, message.incarnation, message.sequence, read_load(note.load), note.doubted
            )

    def sum(self, server_id: BackendServerId) -> ServerSum:
        """Return the sum of the other instances' shares of a server."""
        since = now_ms() - SHARE_LIFETIME_MS
        shares = [one for one in self._shares.get(server_id, {}).values() if one.at_ms >= since]
        return ServerSum(
            sum_loads(one.load for one in shares), any(one.is_doubted for one in shares)
        )

    def forget_old(self) -> None:
        """Drop expired shares."""
        since = now_ms() - SHARE_LIFETIME_MS
        for server_id, shares in list(self._shares.items()):
            kept = {ip: one for ip, one in shares.items() if one.at_ms >= since}
            if kept:
                self._shares[server_id] = kept
            else:
                del self._shares[server_id]


def _is_out_of_order(message: LoadShares, held: _Share) -> bool:
    return message.incarnation == held.incarnation and message.sequence < held.sequence


class Aggregators:
    """Choose the aggregators of each backend server by rendezvous hashing, without coordination."""

    def __init__(self) -> None:
        """Create a chooser without candidates."""
        self._ips: tuple[str, ...] = ()
        self._ranked: dict[BackendServerId, list[_Rank]] = {}

    def set_candidates(self, ips: tuple[str, ...]) -> None:
        """Set the addresses of the candidates, the instances of the region."""
        if ips == self._ips:
            return
        departed = set(self._ips).difference(ips)
        joined = set(ips).difference(self._ips)
        self._ips = ips
        # A joining or departing instance changes the aggregators of few servers: only the servers
        # that lose one are ranked again in full.
        self._ranked = {
            server_id: _top_ranked([*ranked, *(_rank(server_id, ip) for ip in joined)])
            for server_id, ranked in self._ranked.items()
            if not any(ip in departed for _, ip in ranked)
        }

    def of(self, server_id: BackendServerId) -> tuple[str, ...]:
        """Return the addresses of a server's aggregators: the first, then the second."""
        ranked = self._ranked.get(server_id)
        if ranked is None:
            ranked = _top_ranked([_rank(server_id, ip) for ip in self._ips])
            self._ranked[server_id] = ranked
        return tuple(ip for _, ip in ranked)

    def retain(self, known: set[BackendServerId]) -> None:
        """Drop the rankings of servers that no longer exist."""
        if len(self._ranked) > len(known):
            self._ranked = {one: of for one, of in self._ranked.items() if one in known}


def _rank(server_id: BackendServerId, ip: str) -> _Rank:
    return hash64(f"load/{server_id}/{ip}"), ip


def _top_ranked(ranks: list[_Rank]) -> list[_Rank]:
    return sorted(ranks, reverse=True)[:AGGREGATORS_PER_SERVER]
