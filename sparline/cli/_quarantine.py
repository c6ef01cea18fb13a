"""`sparline quarantine`: the parts of prompts in quarantine, and the release of one."""

import argparse
from typing import Any
from urllib.parse import urlencode

from sparline.cli._exit_codes import ExitCode
from sparline.cli._http import get_json, parse_address, post_json
from sparline.cli._printed_answer import print_answer


def quarantine(options: argparse.Namespace) -> ExitCode:
    """Print the parts in quarantine at an instance, or release one at all of them."""
    address = parse_address(options.metrics)
    if options.release is None:
        answer = address.and_then(lambda found: get_json(found, "/quarantine"))
    else:
        path = f"/quarantine/release?{urlencode({'part': options.release})}"
        answer = address.and_then(lambda found: post_json(found, path))
    return print_answer(answer, options.json, _render)


def _render(document: dict[str, Any]) -> str:
    if "released" in document:
        return f"{document['released']}: released"
    lines = [
        f"{one['part']}: {len(one['exits'])} exits, {one['carriers']} of {one['bystanders']} "
        f"interrupted requests have it, last exit {one['age_ms'] // 1000} s ago"
        for one in document["parts"]
    ]
    return "\n".join(lines) or "no part is in quarantine"
