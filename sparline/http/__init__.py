"""HTTP/1.1 on connections of our own; parsing by httptools."""

from sparline.http._answer_parser import MIN_FINAL_STATUS, AnswerParser
from sparline.http._backend_connection import (
    BackendConnection,
    BodyTooLong,
    ConnectionBroken,
    ConnectionUse,
)
from sparline.http._backend_socket import Address
from sparline.http._body_room import RoomShortage, ShortageReason
from sparline.http._caller_connection import CallerConnection, CallerGone
from sparline.http._held_bytes import SMALL_BYTES, HeldBytes, Holding
from sparline.http._messages import (
    MAX_HEADERS,
    FirstValues,
    Headers,
    HttpAnswer,
    HttpRequest,
    MalformedMessage,
    end_to_end,
    first_header,
    first_values,
)
from sparline.http._pool import ConnectionPool
from sparline.http._request_parser import RequestParser
from sparline.http._request_reader import BadRequest, NoRoom, ReadLimits

__all__ = [
    "Address",
    "AnswerParser",
    "BackendConnection",
    "BadRequest",
    "BodyTooLong",
    "CallerConnection",
    "CallerGone",
    "ConnectionBroken",
    "ConnectionPool",
    "ConnectionUse",
    "FirstValues",
    "Headers",
    "HeldBytes",
    "Holding",
    "HttpAnswer",
    "HttpRequest",
    "MAX_HEADERS",
    "MIN_FINAL_STATUS",
    "MalformedMessage",
    "NoRoom",
    "ReadLimits",
    "RequestParser",
    "RoomShortage",
    "SMALL_BYTES",
    "ShortageReason",
    "end_to_end",
    "first_header",
    "first_values",
]
