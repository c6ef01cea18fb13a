"""JSON read strictly: nothing doubled, nothing guessed at."""

import difflib
import json
import re
from dataclasses import dataclass
from typing import Any, TypeVar

import msgspec
from result import Err, Ok, Result

MAX_DOCUMENT_BYTES = 1_000_000

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Refusal:
    """Say why a document is refused."""

    path: str  # JSON path of the fault
    expected: str  # what should stand there
    found: str  # what stands there

    def __str__(self) -> str:
        """Return the refusal as one sentence."""
        return f"{self.path}: expected {self.expected}, found {self.found}"


class _Doubled(dict[str, Any]):
    """Mark an object in which a key stands twice."""

    key: str = ""


@dataclass(frozen=True, slots=True)
class _NotANumber:
    """Mark a literal that JSON does not have, such as NaN."""

    literal: str


def parse(text: str, max_bytes: int = MAX_DOCUMENT_BYTES) -> Result[Any, Refusal]:
    """Parse one JSON document; doubled keys, NaN and infinities are refused."""
    size = len(text.encode("utf-8", errors="replace"))
    if size > max_bytes:
        return Err(Refusal("$", f"at most {max_bytes} bytes", f"{size} bytes"))
    try:
        tree = json.loads(text, object_pairs_hook=_object, parse_constant=_NotANumber)
    except json.JSONDecodeError as error:
        place = f"{error.msg} at line {error.lineno} column {error.colno}"
        return Err(Refusal("$", "a JSON document", place))
    except RecursionError:
        return Err(Refusal("$", "a JSON document of ordinary depth", "too many nested levels"))
    fault = _find_fault(tree, "$")
    return Err(fault) if fault else Ok(tree)


def convert(tree: Any, node: type[T]) -> Result[T, Refusal]:
    """Convert a parsed tree into a struct, or say what does not fit."""
    try:
        return Ok(msgspec.convert(tree, node, strict=True))
    except msgspec.ValidationError as error:
        return Err(_explain(str(error), tree, node))


def _object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    plain = dict(pairs)
    if len(plain) == len(pairs):
        return plain
    doubled = _Doubled(plain)
    seen: set[str] = set()
    for key, _ in pairs:
        if key in seen:
            doubled.key = key
        seen.add(key)
    return doubled


def _find_fault(tree: Any, path: str) -> Refusal | None:
    match tree:
        case _Doubled():
            return Refusal(f"{path}.{tree.key}", "each key once", "the key twice")
        case _NotANumber():
            return Refusal(path, "a finite number", tree.literal)
        case float() if tree in (float("inf"), float("-inf")):
            return Refusal(path, "a finite number", "a number too large")
        case dict():
            children = ((f"{path}.{key}", value) for key, value in tree.items())
        case list():
            children = ((f"{path}[{index}]", value) for index, value in enumerate(tree))
        case _:
            return None
    return next((fault for where, value in children if (fault := _find_fault(value, where))), None)


_UNKNOWN_FIELD = re.compile(r"Object contains unknown field `(?P<name>.*)`")
_MISSING_FIELD = re.compile(r"Object missing required field `(?P<name>.*)`")
_EXPECTED_GOT = re.compile(r"Expected (?P<expected>.*), got (?P<found>.*)")
_BAD_ENUM = re.compile(r"Invalid enum value .*")
_PATH_STEP = re.compile(r"\.(?P<field>[^.\[]+)|\[(?P<index>\d+)\]")
LONGEST_SHOWN = 60


def _explain(message: str, tree: Any, node: type) -> Refusal:
    what, _, where = message.partition(" - at `")
    path = "$" + where.rstrip("`").removeprefix("$")
    value, info = _at(path, tree, msgspec.inspect.type_info(node))
    if match := _UNKNOWN_FIELD.fullmatch(what):
        name = match["name"]
        near = difflib.get_close_matches(name, _fields_of(info), n=1, cutoff=0.5)
        hint = f"a known field (did you mean `{near[0]}`?)" if near else "a known field"
        return Refusal(f"{path}.{name}", hint, f"the unknown field `{name}`")
    if match := _MISSING_FIELD.fullmatch(what):
        return Refusal(path, f"the field `{match['name']}`", "none")
    if match := _EXPECTED_GOT.fullmatch(what):
        return Refusal(path, match["expected"], f"{match['found']} {_shown(value)}")
    if _BAD_ENUM.fullmatch(what) and isinstance(info, msgspec.inspect.EnumType):
        values = ", ".join(str(member.value) for member in info.cls)
        return Refusal(path, f"one of {values}", _shown(value))
    return Refusal(path, what.removeprefix("Expected "), _shown(value))


def _shown(value: Any) -> str:
    text = json.dumps(value, default=str)
    return text if len(text) <= LONGEST_SHOWN else f"{text[:LONGEST_SHOWN]}..."


def _at(path: str, tree: Any, info: Any) -> tuple[Any, Any]:
    """Return the value and the type at a path, None for a part that is not there."""
    for step in _PATH_STEP.finditer(path):
        if step["field"] is not None:
            tree = tree.get(step["field"]) if isinstance(tree, dict) else None
            info = _field_type(info, step["field"])
        else:
            index = int(step["index"])
            tree = tree[index] if isinstance(tree, list) and index < len(tree) else None
            info = getattr(info, "item_type", None)
        info = _plain(info)
    return tree, info


def _plain(info: Any) -> Any:
    return info.type if isinstance(info, msgspec.inspect.Metadata) else info


def _field_type(info: Any, name: str) -> Any:
    fields = info.fields if isinstance(info, msgspec.inspect.StructType) else ()
    return next((field.type for field in fields if field.encode_name == name), None)


def _fields_of(info: Any) -> list[str]:
    fields = info.fields if isinstance(info, msgspec.inspect.StructType) else ()
    return [field.encode_name for field in fields]
