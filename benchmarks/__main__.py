"""Run the demo or an experiment: `python -m benchmarks COMMAND`."""

from gevent import monkey

monkey.patch_all()

import argparse
import sys

from benchmarks.bounds import SITUATION_NAMES, bounds
from benchmarks.choice_simulation import Known, decide
from benchmarks.control import control
from benchmarks.cost import choice_cost, cpu
from benchmarks.demo import demo
from benchmarks.gateway_soak import gateway_soak
from benchmarks.instance_fleet import SHAPES
from benchmarks.instance_soak import soak
from benchmarks.load_experiments import (
    POLICIES,
    limits,
    overload,
    peak,
    region_loss,
    routing,
    serve,
    slow_link,
)
from benchmarks.load_replay import replay
from benchmarks.load_views import views

EXPERIMENTS = {
    "routing": routing,
    "overload": overload,
    "peak": peak,
    "region-loss": region_loss,
    "slow-link": slow_link,
    "limits": limits,
    "control": control,
    "choice-cost": choice_cost,
    "decide": decide,
    "views": views,
    "replay": replay,
    "cpu": cpu,
}


def main(arguments: list[str]) -> int:
    """Run the command that the arguments name."""
    parser = argparse.ArgumentParser(
        prog="benchmarks", description="Demo and experiments on loopback."
    )
    commands = parser.add_subparsers(dest="command", required=True)
    command = commands.add_parser("demo", help="mixed traffic, one instance killed and replaced")
    command.add_argument(
        "--users",
        choices=sorted(SHAPES),
        default="carvalho",
        help="whose fleet (default: carvalho)",
    )
    command.set_defaults(run=demo)
    command = commands.add_parser("bench", help="one experiment; the last line is JSON with ratios")
    command.add_argument("experiment", choices=sorted(EXPERIMENTS))
    command.add_argument("--quick", action="store_true", help="under 50 s, with smaller samples")
    command.add_argument(
        "--users",
        choices=sorted(SHAPES),
        help="one user's fleet (default: both, with --quick carvalho's)",
    )
    command.add_argument(
        "--unseen", action="store_true", help="decide, replay: the draws kept for the end"
    )
    command.add_argument("--seed", type=int, default=1, help="views: of the random load")
    command.add_argument(
        "--known",
        nargs="*",
        default=[],
        choices=[one.value for one in Known],
        help="replay: what all instances of a region know as one, to find what ignorance costs",
    )
    command.add_argument(
        "--trees",
        nargs="*",
        default=[],
        metavar="PATH",
        help="cpu: other source trees, side by side",
    )
    command.set_defaults(run=lambda options: EXPERIMENTS[options.experiment](options))
    command = commands.add_parser("soak", help="a randomised run under faults, judged by ledgers")
    command.add_argument("--seed", type=int, required=True)
    command.add_argument("--seconds", type=float, default=30.0)
    command.add_argument("--users", choices=sorted(SHAPES), default="carvalho")
    command.set_defaults(run=soak)
    command = commands.add_parser(
        "gateway-soak", help="gateway processes under faults, judged by callers and servers"
    )
    command.add_argument("--seed", type=int, required=True)
    command.add_argument("--seconds", type=float, default=20.0)
    command.set_defaults(run=gateway_soak)
    command = commands.add_parser(
        "bounds", help="gateway processes in a situation that the operators bound"
    )
    command.add_argument("--situation", choices=sorted(SITUATION_NAMES), required=True)
    command.add_argument("--seed", type=int, default=1)
    command.add_argument("--gateways", type=int, default=8, help="instances, half in each region")
    command.add_argument("--rate", type=float, default=120.0, help="requests per second")
    command.add_argument("--busy", type=int, default=0, help="busy processes beside")
    command.set_defaults(run=bounds)
    command = commands.add_parser("serve", help="an instance with one of the compared routings")
    command.add_argument("--policy", choices=sorted(POLICIES), required=True)
    command.add_argument("--settings", required=True)
    command.set_defaults(run=serve)
    options = parser.parse_args(arguments)
    return options.run(options)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
