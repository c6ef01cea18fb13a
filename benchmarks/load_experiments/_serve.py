"""An instance with a routing of the baselines, for comparison only."""

import argparse

from benchmarks.load_experiments._baselines import POLICIES
from sparline.cli import serve_with


def serve(options: argparse.Namespace) -> int:
    """Run one instance like `sparline serve`, with the routing that is named."""
    return int(serve_with(options.settings, POLICIES[options.policy]()))
