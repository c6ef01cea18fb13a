"""Run stand-ins as a process: `python -m standins --config FILE`."""

from gevent import monkey

monkey.patch_all()

import argparse
import json
import signal
import sys
from pathlib import Path
from typing import Any

import gevent
import gevent.event

from standins import Engine, EngineShape, Forward, Place, PlainService, Platform, WideArea

StandIn = Platform | Engine | PlainService | WideArea


def main(arguments: list[str]) -> int:
    """Run the stand-ins that a file lists until told to stop."""
    parser = argparse.ArgumentParser(
        prog="standins", description="Run stand-ins for outside systems."
    )
    parser.add_argument(
        "--config", required=True, help="JSON list of stand-ins, each with its role"
    )
    options = parser.parse_args(arguments)
    standins = [_make(one) for one in json.loads(Path(options.config).read_text(encoding="utf-8"))]
    stopped = gevent.event.Event()
    gevent.signal_handler(signal.SIGTERM, stopped.set)
    gevent.signal_handler(signal.SIGINT, stopped.set)
    for standin in standins:
        standin.start()
    stopped.wait()
    for standin in standins:
        standin.stop()
    return 0


def _make(wanted: dict[str, Any]) -> StandIn:
    match wanted:
        case {"role": "platform", "ip": ip, "port": port}:
            return Platform(ip, port, wanted.get("weights_per_s", 2.0))
        case {"role": "service", "ip": ip, "port": port}:
            return PlainService(ip, port, wanted.get("call_ms", 5.0))
        case {"role": "engine", "ip": ip, "port": port}:
            platform = wanted.get("platform")
            shape = EngineShape(**wanted.get("shape", {}))
            return Engine(
                ip, port, tuple(platform) if platform else None, shape, wanted.get("loaded", ())
            )
        case {"role": "wide_area", "ip": ip, "port": port}:
            forwards = [Forward(**one) for one in wanted["forwards"]]
            places = {key: Place(**place) for key, place in wanted["places"].items()}
            network = WideArea(ip, port, forwards, places)
            for link in wanted.get("links", ()):
                network.set_delay(*link["between"], link["delay_ms"])
            return network
    raise ValueError(f"expected a stand-in with a known role, found {wanted!r}")


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
