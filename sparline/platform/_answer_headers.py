"""Headers of the answers that callers and other instances get."""

from sparline._ids import SoftwareVersion
from sparline.forwarding import OwnAnswer
from sparline.http import Headers, HttpAnswer, end_to_end
from sparline.platform import _names as names
from sparline.platform._values import encode_software_version

MS_PER_S = 1000.0


def answer_headers(answer: HttpAnswer, _version: SoftwareVersion | None) -> Headers:
    """Return the headers of a stream for a caller, whom its software version does not concern."""
    return [
        header
        for header in end_to_end(answer.headers)
        if not header[0].startswith(names.INSTANCE_HEADER_PREFIX)
    ]


def relayed_answer_headers(answer: HttpAnswer, version: SoftwareVersion | None) -> Headers:
    """Return the headers of a stream for the instance that relayed the request."""
    headers = answer_headers(answer, version)
    if version is not None:
        headers.append((names.RELAY_SOFTWARE_VERSION, encode_software_version(version)))
    return headers


def refusal_headers(answer: OwnAnswer) -> Headers:
    """Return the headers of a response generated here for a caller.

    A caller does not need to know whether the request was sent to a backend server.
    """
    if answer.ran or answer.quarantined:
        return []
    return [(names.RETRY_AFTER, b"%.3f" % (answer.retry_after_ms / MS_PER_S))]


def relayed_refusal_headers(answer: OwnAnswer) -> Headers:
    """Return the headers of a response generated here for the instance that relayed the request."""
    added_headers = [(names.RELAY_OUTCOME, _outcome(answer)), *refusal_headers(answer)]
    if answer.is_region_full:
        added_headers.append((names.RELAY_NO_ROOM, b"region"))
    if answer.is_isolated:
        added_headers.append((names.RELAY_ISOLATED, b"1"))
    if answer.ended_server is not None:
        added_headers.append((names.RELAY_ENDED, answer.ended_server.encode("latin-1")))
    return added_headers


def _outcome(answer: OwnAnswer) -> bytes:
    if answer.quarantined:
        return b"quarantined"
    if answer.ran:
        return b"unknown"
    return b"not-run" if answer.sent else b"not-sent"
