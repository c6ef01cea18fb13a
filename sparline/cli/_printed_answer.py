"""Printing of an instance's answer, and the exit code for it."""

import json
import sys
from collections.abc import Callable
from typing import Any

from result import Err, Ok, Result

from sparline.cli._exit_codes import ExitCode
from sparline.cli._http import HttpAnswer

HTTP_OK = 200


def print_answer(
    answer: Result[HttpAnswer, str], as_json: bool, render: Callable[[dict[str, Any]], str]
) -> ExitCode:
    """Print the document of an answer, or on standard error why there is none."""
    match answer:
        case Err(reason):
            print(reason, file=sys.stderr)
            return ExitCode.UNREACHABLE
        case Ok(found) if found.status != HTTP_OK:
            print(found.document["error"], file=sys.stderr)
            return ExitCode.REFUSED
        case Ok(found):
            print(json.dumps(found.document) if as_json else render(found.document))
            return ExitCode.OK
    raise AssertionError("a result is either Ok or Err")
