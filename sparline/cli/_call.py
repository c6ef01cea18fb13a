"""`sparline locate` and `sparline call`: act as a caller."""

import argparse
import json
import os
import sys
from typing import Any
from urllib.parse import quote

from result import Err, Ok, Result

from sparline._clock import now_ms
from sparline.backends import BackendAddress, Exchange, ExchangeFault
from sparline.cli._exit_codes import ExitCode
from sparline.cli._http import get_json, parse_address

KEY_VARIABLE = "SPARLINE_KEY"


def locate(options: argparse.Namespace) -> ExitCode:
    """Print the instances to use, best first, and a ticket."""
    match _locate(options):
        case Err(reason):
            print(reason, file=sys.stderr)
            return ExitCode.UNREACHABLE
        case Ok(found) if "instances" not in found:
            print(json.dumps(found), file=sys.stderr)
            return ExitCode.REFUSED
        case Ok(found):
            print(json.dumps(found) if options.json else _render(found))
            return ExitCode.OK
    raise AssertionError("a result is either Ok or Err")


def _render(found: dict[str, Any]) -> str:
    lines = [
        f"{one['instance_id']:24} {one['ip']}:{one['port']} {one['availability_zone']} ({one['region']}), {one['estimate_ms']} ms"
        for one in found["instances"]
    ]
    return "\n".join([*lines, f"ticket {found['ticket']}"])


def _locate(options: argparse.Namespace) -> Result[dict[str, Any], str]:
    """Ask the named instances, or those of the directory, one after the other."""
    addresses = _start_addresses(options)
    if addresses.is_err():
        return Err(addresses.unwrap_err())
    target = quote(getattr(options, "target", None) or "")
    last = "no instance to ask"
    for address in addresses.unwrap():
        match get_json(address, f"/locate?target={target}", _key_header()):
            case Ok(answer):
                return Ok(answer.document)
            case Err(reason):
                last = reason
    return Err(last)


def _start_addresses(options: argparse.Namespace) -> Result[list[BackendAddress], str]:
    if options.instance:
        return parse_address(options.instance).map(lambda address: [address])
    directory = parse_address(options.directory or "")
    if directory.is_err():
        return Err(f"--instance or --directory: {directory.unwrap_err()}")
    listed = get_json(directory.unwrap(), "/directory")
    return listed.map(
        lambda answer: [
            BackendAddress(one["ip"], one["port"]) for one in answer.document["instances"]
        ]
    )


def _key_header() -> dict[str, str]:
    return {"Authorization": f"Bearer {os.environ.get(KEY_VARIABLE, '')}"}


def call(options: argparse.Namespace) -> ExitCode:
    """Send one prompt where locate says, and stream the answer to the terminal."""
    match _locate(options):
        case Err(reason):
            print(reason, file=sys.stderr)
            return ExitCode.UNREACHABLE
        case Ok(found) if not found.get("instances"):
            print(json.dumps(found), file=sys.stderr)
            return ExitCode.REFUSED
        case Ok(found):
            return _call_at(options, found["instances"][0], found["ticket"])
    raise AssertionError("a result is either Ok or Err")


def _call_at(options: argparse.Namespace, instance: dict[str, Any], ticket: str | None) -> ExitCode:
    prompt = sys.stdin.read() if options.prompt == "-" else options.prompt
    body = {
        "model": options.target,
        "prompt": prompt,
        "max_tokens": options.output_tokens,
        "stream": True,
    }
    if options.adapter:
        body["adapter"] = options.adapter
    headers = _key_header() | {
        "Content-Type": "application/json",
        "Sparline-Deadline-Ms": str(options.deadline_ms),
    }
    if ticket:
        headers["Sparline-Ticket"] = ticket
    if options.not_repeatable:
        headers["Sparline-Not-Repeatable"] = "1"
    exchange = Exchange(now_ms() + options.deadline_ms, lambda: True)
    try:
        address = BackendAddress(instance["ip"], instance["port"])
        content = json.dumps(body).encode()
        connected = exchange.connect(address, options.deadline_ms)
        if connected.is_err():
            return _report({"outcome": "not_run", "reason": "connect_failed"}, options.json)
        exchange.send("POST", "/v1/completions", headers, [content], len(content))
        return _report(_stream(exchange, options.json), options.json)
    finally:
        exchange.close()


def _stream(exchange: Exchange, quiet: bool) -> dict[str, Any]:
    """Print tokens as they come; return the outcome, unknown unless it is told."""
    pending = b""
    outcome: dict[str, Any] = {"outcome": "unknown", "reason": "no_outcome_told"}
    head = exchange.read_head()
    if head.is_err():
        return outcome
    for part in exchange.read_body():
        match part:
            case Err(ExchangeFault()):
                return outcome
            case Ok(data):
                *events, pending = (pending + data).split(b"\n\n")
                for event in events:
                    outcome = _show_event(event.decode(), quiet) or outcome
    return json.loads(pending) if pending.startswith(b"{") else outcome


def _show_event(event: str, quiet: bool) -> dict[str, Any] | None:
    if event.startswith("event: outcome\n"):
        return json.loads(event.partition("data: ")[2])
    if event.startswith("data: {") and not quiet:
        document = json.loads(event.removeprefix("data: "))
        print(document["choices"][0]["text"], end="", flush=True)
    return None


def _report(outcome: dict[str, Any], as_json: bool) -> ExitCode:
    if as_json:
        print(json.dumps(outcome))
    else:
        print(
            f"\noutcome: {outcome['outcome']}, reason: {outcome.get('reason', 'none')}",
            file=sys.stderr,
        )
    codes = {"complete": ExitCode.OK, "not_run": ExitCode.REFUSED}
    return codes.get(outcome["outcome"], ExitCode.UNKNOWN_OUTCOME)
