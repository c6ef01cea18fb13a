"""Replay of request load against a quota, measuring over-admission and undue rejections."""

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from sparline._ids import OrganisationId
from sparline.quotas import QuotaTolerance
from sparline.routes import Organisation, Quota, QuotaUnit
from sparline.tests.fake_fleet import STEP_MS, FakeFleet

REGIONS = ("east", "north", "west")
BOUNDS = QuotaTolerance(window_s=8.0, excess=0.25, slack=190_000.0)
ORGANISATION = "ore"
# Tokens per request: one request in ten is long.
SHORT_TOKENS, LONG_TOKENS, LONG_SHARE = 450.0, 17_000.0, 0.1
MEAN_TOKENS = SHORT_TOKENS + LONG_SHARE * (LONG_TOKENS - SHORT_TOKENS)
# How long a new fleet runs before a replay, so that its instances know each other (ms).
SETTLE_MS = 4_000.0


@dataclass(frozen=True, slots=True)
class Demand:
    """Hold the load that callers generate at one time."""

    factor: float  # requested tokens per second, relative to the quota
    weights: tuple[float, float, float] = (1.0, 1.0, 1.0)  # load distribution over the regions


@dataclass(slots=True)
class ReplayResult:
    """Hold the results of a replay."""

    most_in_window: float = 0.0  # maximum number of tokens admitted in any window
    allowed_in_window: float = 0.0  # maximum number of tokens that operators accept in a window
    owed: float = 0.0  # tokens that a single shared token bucket would have admitted
    rejected_owed: float = 0.0  # owed tokens that were rejected
    asked: float = 0.0  # tokens requested
    admitted: float = 0.0  # tokens admitted
    bytes_per_s: float = 0.0  # quota datagrams per instance

    @property
    def rejected_share(self) -> float:
        return self.rejected_owed / max(self.owed, 1.0)


def quota_of(per_s: float, burst: float | None = None) -> Organisation:
    """Return an organisation with a quota in tokens."""
    quota = Quota(QuotaUnit.TOKENS, per_s, per_s if burst is None else burst, 200.0)
    return Organisation(OrganisationId(ORGANISATION), frozenset(), None, frozenset(), quota)


@dataclass(slots=True)
class Replay:
    """Generate load on a fleet according to a pattern."""

    fleet: FakeFleet
    demand: Callable[[float], Demand]  # by time since the start (ms)
    per_s: float = 50_000.0
    costs: Callable[[random.Random], float] | None = None  # tokens per request
    at: Callable[[float], None] = lambda _ms: None  # called in every step
    result: ReplayResult = field(default_factory=ReplayResult)
    _window: deque = field(default_factory=deque)
    _in_window: float = 0.0
    _level: float = 0.0

    def run(self, length_ms: float) -> ReplayResult:
        """Replay the pattern."""
        chance = random.Random(7)
        organisation = self.fleet.organisations[ORGANISATION]
        self._level = organisation.quota.burst
        due = 0.0
        began_ms = self.fleet.now_ms
        bytes_before = self.fleet.quota_bytes
        while (past_ms := self.fleet.now_ms - began_ms) < length_ms:
            self.at(past_ms)
            now = self.demand(past_ms)
            quota = self.fleet.organisations[ORGANISATION].quota
            self._refill(quota)
            due += now.factor * self.per_s * STEP_MS / 1000
            while due > 0:
                cost = self.costs(chance) if self.costs else _cost(chance)
                due -= cost
                self._ask(chance, now, cost)
            self.fleet.step()
        instances = max(len(self.fleet.instances), 1)
        told = self.fleet.quota_bytes - bytes_before
        self.result.bytes_per_s = told / instances / (length_ms / 1000)
        return self.result

    def _refill(self, quota: Quota) -> None:
        """Advance the reference bucket and the sliding window by one step."""
        self._level = min(self._level + quota.per_s * STEP_MS / 1000, quota.burst)
        since = self.fleet.now_ms - BOUNDS.window_s * 1000
        while self._window and self._window[0][0] <= since:
            self._in_window -= self._window.popleft()[1]

    def _ask(self, chance: random.Random, now: Demand, cost: float) -> None:
        region = chance.choices(REGIONS, now.weights)[0]
        ips = [ip for ip, one in self.fleet.instances.items() if one.region == region]
        if not ips:
            return
        owed = self._level > 0
        if owed:
            self._level -= cost
            self.result.owed += cost
        self.result.asked += cost
        if self.fleet.ask(chance.choice(ips), ORGANISATION, cost) is not None:
            self.result.rejected_owed += cost if owed else 0.0
            return
        self.result.admitted += cost
        self._window.append((self.fleet.now_ms, cost))
        self._in_window += cost
        self.result.most_in_window = max(self.result.most_in_window, self._in_window)


def _cost(chance: random.Random) -> float:
    return LONG_TOKENS if chance.random() < LONG_SHARE else SHORT_TOKENS


def allowed(per_s: float, burst: float | None = None) -> float:
    """Return the maximum number of tokens that operators accept in a window."""
    burst = per_s if burst is None else burst
    return (per_s * BOUNDS.window_s + burst) * (1 + BOUNDS.excess) + BOUNDS.slack


def make_fleet(monkeypatch, instances: int, per_s: float, lossy: float = 0.0) -> FakeFleet:
    """Return a settled fleet with instances in three regions."""
    chance = random.Random(instances)
    fleet = FakeFleet(chance, ["1.east.0.1", "1.north.0.1", "1.west.0.1"], quota_bounds=BOUNDS)
    fleet.install(monkeypatch)
    fleet.organisations[ORGANISATION] = quota_of(per_s)
    for ip in addresses(instances):
        fleet.start(ip, ip.split(".")[1], chance.uniform(0, 300))
    fleet.pass_ms(SETTLE_MS)
    fleet.lossy = lossy
    return fleet


def addresses(instances: int) -> list[str]:
    """Return the addresses of a fleet, which contain the region of each instance."""
    return [
        f"1.{REGIONS[number % len(REGIONS)]}.0.{number // len(REGIONS) + 1}"
        for number in range(instances)
    ]
