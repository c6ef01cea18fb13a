"""`sparline check`: validate files offline, with the instances' own code."""

import argparse
import json
from dataclasses import dataclass
from pathlib import Path

from result import Err, Ok, Result

from sparline.cli._exit_codes import ExitCode
from sparline.declarations import Refusal, accept_file


@dataclass(frozen=True, slots=True)
class Checked:
    """Hold what became of one file."""

    file: str  # path as given
    refusal: Refusal | None  # None for an accepted file


def check(options: argparse.Namespace) -> ExitCode:
    """Check every file and print a line for each."""
    checked = [_check_one(path) for path in options.files]
    if options.json:
        print(json.dumps([_as_json(one) for one in checked]))
    else:
        for one in checked:
            print(f"{one.file}: {one.refusal or 'accepted'}")
    return ExitCode.REFUSED if any(one.refusal for one in checked) else ExitCode.OK


def _check_one(path: str) -> Checked:
    refusal = _read(path).and_then(accept_file).err()
    return Checked(path, refusal)


def _read(path: str) -> Result[str, Refusal]:
    try:
        return Ok(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        return Err(Refusal("$", "a readable UTF-8 file", str(error)))


def _as_json(one: Checked) -> dict[str, object]:
    if one.refusal is None:
        return {"file": one.file, "accepted": True}
    refusal = one.refusal
    return {
        "file": one.file,
        "accepted": False,
        "path": refusal.path,
        "expected": refusal.expected,
        "found": refusal.found,
    }
