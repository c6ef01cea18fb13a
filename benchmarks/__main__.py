"""Run the demo or an experiment: `python -m benchmarks COMMAND`."""

from gevent import monkey

monkey.patch_all()

import argparse
import sys

from benchmarks._demo import demo
from benchmarks._shapes import SHAPES


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
    options = parser.parse_args(arguments)
    return options.run(options)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
