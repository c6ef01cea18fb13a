"""Adapter to the users' platform: decodes its names, formats and calls into internal types."""

from sparline.platform._answer_headers import (
    answer_headers,
    refusal_headers,
    relayed_answer_headers,
    relayed_refusal_headers,
)
from sparline.platform._directory import (
    DirectoryQuery,
    make_directory_app,
    make_readiness_app,
)
from sparline.platform._items import ItemReader
from sparline.platform._requests import RequestHead, headers_to_pass, parse_request_head
from sparline.platform._store_client import StoreHttpClient
from sparline.platform._wires import InstanceWire, ServerWire

__all__ = [
    "DirectoryQuery",
    "InstanceWire",
    "ItemReader",
    "RequestHead",
    "ServerWire",
    "StoreHttpClient",
    "answer_headers",
    "headers_to_pass",
    "make_directory_app",
    "make_readiness_app",
    "parse_request_head",
    "refusal_headers",
    "relayed_answer_headers",
    "relayed_refusal_headers",
]
