"""How well the choice decides on deployments drawn at random, in simulated time."""

import argparse
import json
from dataclasses import dataclass

from benchmarks.choice_simulation._caller import CallerView
from benchmarks.choice_simulation._draws import (
    SHOWN_SEEDS,
    UNSEEN_SEEDS,
    Arrival,
    Draw,
    draw_arrivals,
    draw_deployment,
    work_ms,
)
from benchmarks.choice_simulation._play import play
from benchmarks.choice_simulation._world import World
from sparline.placement import Chooser, Placement

# Requests that come in one of these windows are to be read within it or the wanted time (ms).
WINDOW_MS = 1_000.0


class LeastLoaded(Chooser):
    """Send each request to the near engine with least under way; refuse nothing."""

    def _best(self, placements: list[Placement], prefer_few_running: bool) -> Placement:
        near = [one for one in placements if one.peer is None]
        free = [one for one in near if not one.waits] or placements
        return min(free, key=lambda one: (one.load.running, self._rng.random()))

    def _refusal(self, *_: object) -> None:
        return None


POLICIES = {"ours": Chooser, "least-loaded": LeastLoaded}


@dataclass(frozen=True, slots=True)
class DayResult:
    """Hold what one policy earned on one deployment."""

    share: float  # of the credit owed
    long_share: float  # the same of long requests
    short_share: float  # the same of short ones
    refused: int  # callers that were refused in the end
    late: int  # whole answers that were late
    rank_shares: dict[int, float]  # share of the credit by rank


def decide(options: argparse.Namespace) -> int:
    """Print a row for each drawn deployment, and the means as JSON."""
    seeds = UNSEEN_SEEDS if options.unseen else SHOWN_SEEDS
    if options.quick:
        seeds = seeds[:3]
    print(f"{'draw':>4} {'load':>5} {'requests':>8} {'bound':>6} ", *POLICIES, "(long/short)")
    shares: dict[str, list[float]] = {name: [] for name in ("bound", *POLICIES)}
    for seed in seeds:
        draw = draw_deployment(seed)
        arrivals = draw_arrivals(draw)
        bound = bound_of(draw, arrivals)
        shares["bound"].append(bound)
        columns = []
        for name, policy in POLICIES.items():
            result = result_of(play(draw, arrivals, policy))
            shares[name].append(result.share)
            columns.append(
                f"{result.share:.3f} ({result.long_share:.2f}/{result.short_share:.2f},"
                f" {result.refused} refused, {result.late} late)"
            )
        print(f"{seed:>4} {draw.load:>5} {len(arrivals):>8} {bound:>6.3f} ", *columns, flush=True)
    means = {name: round(sum(some) / len(some), 4) for name, some in shares.items()}
    print(json.dumps({"experiment": "decide", "unseen": options.unseen, "mean_share": means}))
    return 0


def result_of(world: World) -> DayResult:
    """Return what callers got of a played day."""
    long = [one for one in world.views if one.arrival.kind.name == "long"]
    short = [one for one in world.views if one.arrival.kind.name == "short"]
    return DayResult(
        share=_share(world.views),
        long_share=_share(long),
        short_share=_share(short),
        refused=sum(one.refused for one in world.views),
        late=sum(one.whole and one.credit() < one.arrival.credit for one in world.views),
        rank_shares={
            rank: _share([one for one in world.views if one.arrival.kind.rank == rank])
            for rank in sorted({kind.rank for kind in world.draw.kinds})
        },
    )


def _share(views: list[CallerView]) -> float:
    owed = sum(one.arrival.credit for one in views)
    return sum(one.credit() for one in views) / owed if owed else 1.0


def bound_of(draw: Draw, arrivals: list[Arrival]) -> float:
    """Return a share of the credit that no choice can exceed.

    Whoever knew all that comes still could not have engines read more than time allows: in each
    window, requests that are in time are read between its begin and the wanted time after its
    end. All engines count as one, no way takes time, each start is read before, and a request
    may be served in part, so that the best density of credit goes first.
    """
    windows: dict[int, list[Arrival]] = {}
    for arrival in arrivals:
        windows.setdefault(int(arrival.at_ms // WINDOW_MS), []).append(arrival)
    speed = sum(engine.speed for engine in draw.engines)
    longest_ms = max(kind.wanted_ms for kind in draw.kinds)
    by_window = sum(
        _most_credit(draw, some, (WINDOW_MS + longest_ms) * speed) for some in windows.values()
    )
    day_ms = max(one.at_ms for one in arrivals) + longest_ms
    whole = _most_credit(draw, arrivals, day_ms * speed)
    return min(by_window, whole) / sum(one.credit for one in arrivals)


def _most_credit(draw: Draw, arrivals: list[Arrival], room_ms: float) -> float:
    """Return the credit in time that fits into so much work, and the late credit of the rest."""
    gains = [
        (
            work_ms(draw.engine, one.own_tokens, 0),
            one.credit * (1 - one.kind.late_worth / one.kind.worth),
        )
        for one in arrivals
    ]
    earned = sum(one.credit * one.kind.late_worth / one.kind.worth for one in arrivals)
    for needed_ms, gain in sorted(gains, key=lambda one: one[0] / one[1]):
        part = min(room_ms / max(needed_ms, 1e-9), 1.0)
        earned += gain * part
        room_ms -= needed_ms * part
        if room_ms <= 0:
            break
    return earned
