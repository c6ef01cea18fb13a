"""`sparline quarantine`: the parts of prompts in quarantine, and the release of one."""

import argparse
import json
import sys
from typing import Any
from urllib.parse import urlencode

from result import Err, Ok

from sparline.cli._exit_codes import ExitCode
from sparline.cli._http import get_json, parse_address, post_json

HTTP_OK = 200


def quarantine(options: argparse.Namespace) -> ExitCode:
    """Print the parts in quarantine at an instance, or release one at all of them."""
    address = parse_address(options.metrics)
    if options.release is None:
        answer = address.and_then(lambda found: get_json(found, "/quarantine"))
    else:
        path = f"/quarantine/release?{urlencode({'part': options.release})}"
        answer = address.and_then(lambda found: post_json(found, path))
    match answer:
        case Err(reason):
            print(reason, file=sys.stderr)
            return ExitCode.UNREACHABLE
        case Ok(found) if found.status != HTTP_OK:
            print(found.document["error"], file=sys.stderr)
            return ExitCode.REFUSED
        case Ok(found):
            print(json.dumps(found.document) if options.json else _render(found.document))
            return ExitCode.OK
    raise AssertionError("a result is either Ok or Err")


def _render(document: dict[str, Any]) -> str:
    if "released" in document:
        return f"{document['released']}: released"
    lines = [
        f"{one['part']}: {len(one['exits'])} exits, {one['carriers']} of {one['bystanders']} "
        f"interrupted requests have it, last exit {one['age_ms'] // 1000} s ago"
        for one in document["parts"]
    ]
    return "\n".join(lines) or "no part is in quarantine"
