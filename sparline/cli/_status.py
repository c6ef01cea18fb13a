"""`sparline status` and `sparline explain`: what an instance holds, sees and would do."""

import argparse
import json
import sys
from typing import Any
from urllib.parse import urlencode

from result import Err, Ok

from sparline.cli._exit_codes import ExitCode
from sparline.cli._http import get_json, parse_address
from sparline.cli._printed_answer import print_answer


def status(options: argparse.Namespace) -> ExitCode:
    """Print what is in force and seen at each instance that is named."""
    codes = [_status_one(text, options.json) for text in options.operators]
    return max(codes)


def _status_one(text: str, as_json: bool) -> ExitCode:
    answer = parse_address(text).and_then(lambda address: get_json(address, "/status"))
    match answer:
        case Err(reason):
            print(reason, file=sys.stderr)
            return ExitCode.UNREACHABLE
        case Ok(found):
            print(json.dumps(found.document) if as_json else _render(found.document))
            return ExitCode.OK
    raise AssertionError("a result is either Ok or Err")


def _render(status: dict[str, Any]) -> str:
    lines = [
        f"{status['instance_id']} ({status['availability_zone']}, {status['region']}): {status['state']}, "
        f"up {status['uptime_ms'] // 1000} s, revision {status['complete_revision']}, digest {status['digest']}"
    ]
    lines += [
        f"  file {one['name']}: version {one['version']}, digest {one['digest']}, age {one['age_ms']} ms"
        for one in status["files"]
    ]
    lines += [
        f"  refused {one['name']}: version {one['version']}, {one['path']}: expected {one['expected']}, found {one['found']}"
        for one in status["refused_files"]
    ]
    lines += [
        f"  instance {one['instance_id']}: {'live' if one['live'] else 'not live'}{', linked' if one['linked'] else ''}, listed {one['listed']}"
        for one in status["instances"]
    ]
    lines += [
        f"  backend server {one['backend_server']}: {'takes work' if one['takes_work'] else 'takes no work'}, "
        f"{one['in_flight']} in flight, holds {', '.join(one['loaded']) or 'nothing'}"
        for one in status["backend_servers"]
    ]
    lines += [
        f"  zone {one['availability_zone']}: seen {one['age_ms']} ms ago, room {one['room']}"
        for one in status["zones"]
    ]
    return "\n".join(lines)


def explain(options: argparse.Namespace) -> ExitCode:
    """Print the route that one request would take now."""
    asked = {
        "organisation": options.organisation,
        "target": options.target,
        "adapter": options.adapter,
        "prompt_tokens": options.prompt_tokens,
        "output_tokens": options.output_tokens,
        "deadline_ms": options.deadline_ms,
        "not_repeatable": int(options.not_repeatable),
    }
    answer = parse_address(options.operators).and_then(
        lambda address: get_json(address, f"/explain?{urlencode(asked)}")
    )
    return print_answer(answer, options.json, _render_route)


def _render_route(route: dict[str, Any]) -> str:
    decision = ", ".join(f"{key} {value}" for key, value in route["decision"].items())
    lines = [
        f"decision: {decision}",
        f"{'candidate':24} {'place':12} {'ttft ms':>9} {'total ms':>9} {'cost':>12}  passed over because",
    ]
    lines += [
        f"{one['at']:24} {one['place']:12} {one['ttft_ms']:9.1f} {one['total_ms']:9.1f} {one['cost']:12.3e}  {one['passed_over'] or '-'}"
        for one in route["candidates"]
    ]
    return "\n".join(lines)
