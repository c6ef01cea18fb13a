"""Fields of log lines about requests."""

from sparline.forwarding import AnswerOrigin


def origin_fields(origin: AnswerOrigin | None) -> dict[str, object]:
    """Return what the last response was taken from."""
    if origin is None:
        return {}
    return {
        "answer_id": origin.id_match.value,
        "answered_after_ms": round(origin.after_ms, 2),
        "connection_requests": origin.use.requests,
        "is_id_repeated": origin.use.is_id_repeated,
        "dropped_answers": origin.use.dropped_answers,
        "dropped_bytes": origin.use.dropped_bytes,
    }
