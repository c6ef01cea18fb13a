"""Calls of instances and of the directory, as a caller or an operator makes them."""

import json
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlsplit

from result import Err, Ok, Result

from sparline.backends import BackendAddress, call_json

CALL_TIMEOUT_MS = 5_000.0


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """Hold a whole answer."""

    status: int  # HTTP status
    document: Any  # body as JSON


def parse_address(text: str) -> Result[BackendAddress, str]:
    """Read `IP:PORT` or `http://IP:PORT`."""
    parts = urlsplit(text if "//" in text else f"//{text}")
    try:
        if parts.hostname and parts.port:
            return Ok(BackendAddress(parts.hostname, parts.port))
    except ValueError:
        pass
    return Err(f"expected IP:PORT, found {text!r}")


def get_json(
    address: BackendAddress, path: str, headers: dict[str, str] | None = None
) -> Result[HttpAnswer, str]:
    """Read one document."""
    return _call(address, "GET", path, headers or {})


def post_json(address: BackendAddress, path: str) -> Result[HttpAnswer, str]:
    """Ask for a change that the path describes, and read the document in answer."""
    return _call(address, "POST", path, {})


def _call(
    address: BackendAddress, method: str, path: str, headers: dict[str, str]
) -> Result[HttpAnswer, str]:
    answer = call_json(address, method, path, b"", CALL_TIMEOUT_MS, headers)
    match answer:
        case Ok((status, content)):
            try:
                return Ok(HttpAnswer(status, json.loads(content)))
            except ValueError:
                return Err(f"expected JSON from {address.ip}:{address.port}, found other bytes")
        case Err(fault):
            return Err(f"no answer from {address.ip}:{address.port}: {fault.value}")
    raise AssertionError("a result is either Ok or Err")
