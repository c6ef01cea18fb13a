"""Replay patterns of load at its worst, by the number of instances that decide."""

import argparse
import json

from benchmarks.choice_simulation import POLICIES, DayResult, Known, play, result_of
from benchmarks.load_replay._patterns import (
    SHOWN_SEEDS,
    UNSEEN_SEEDS,
    LoadPattern,
    arrivals_of,
    deployment_of,
    load_patterns,
)

# Instances of each of three regions: 9, 72 and 195 in all.
SIZES = (3, 24, 65)


def replay_day(
    pattern: LoadPattern,
    instances: int,
    seed: int,
    policy: str = "ours",
    known: frozenset[Known] = frozenset(),
    choice_seed: int = 0,
) -> DayResult:
    """Return what a policy earns of one pattern on one deployment."""
    draw = deployment_of(pattern, instances, seed)
    arrivals = arrivals_of(pattern, draw)
    world = play(draw, arrivals, POLICIES[policy], pattern.settle_ms, known, choice_seed)
    return result_of(world)


def replay(options: argparse.Namespace) -> int:
    """Print a row for each pattern, number of instances and policy."""
    seeds = UNSEEN_SEEDS if options.unseen else SHOWN_SEEDS
    sizes = SIZES[:2] if options.quick else SIZES
    known = frozenset(Known(name) for name in options.known)
    means: dict[str, float] = {}
    rank_means: dict[str, dict[int, float]] = {}
    print(
        "pattern, instances a region, policy: share of the credit (long/short), refused, late, by rank"
    )
    for pattern in load_patterns().values():
        for instances in sizes:
            for policy in POLICIES:
                days = [replay_day(pattern, instances, seed, policy, known) for seed in seeds]
                share = sum(one.share for one in days) / len(days)
                means[f"{pattern.name}/{instances}/{policy}"] = round(share, 4)
                long = sum(one.long_share for one in days) / len(days)
                short = sum(one.short_share for one in days) / len(days)
                by_rank = {
                    rank: sum(one.rank_shares[rank] for one in days) / len(days)
                    for rank in days[0].rank_shares
                }
                rank_means[f"{pattern.name}/{instances}/{policy}"] = {
                    rank: round(one, 4) for rank, one in by_rank.items()
                }
                shown = "/".join(f"{one:.2f}" for one in by_rank.values())
                print(
                    f"{pattern.name:24} {instances:3} {policy:13} {share:.3f} "
                    f"({long:.2f}/{short:.2f}) {sum(one.refused for one in days):5} "
                    f"{sum(one.late for one in days):5} by rank {shown}",
                    flush=True,
                )
    print(
        json.dumps(
            {
                "experiment": "replay",
                "unseen": options.unseen,
                "known": options.known,
                "mean_share": means,
                "mean_share_by_rank": rank_means,
            }
        )
    )
    return 0
