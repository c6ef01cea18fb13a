"""Fields of log lines about requests."""

from sparline._hashing import hash64
from sparline.forwarding import AnswerOrigin
from sparline.placement import Placement, Refusal
from sparline.requests import Prompt, RoutedRequest


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


def prompt_fields(prompt: Prompt) -> dict[str, object]:
    """Return the size of a prompt and a hash of its longest shared prefix."""
    return {
        "prompt_tokens": prompt.tokens,
        "shared_tokens": prompt.shared_tokens,
        # Equal for prompts with the same longest shared prefix. It is hashed because callers choose
        # the names of the parts.
        "start": f"{hash64(prompt.shared_prefixes[-1].key):016x}"
        if prompt.shared_prefixes
        else None,
    }


def resumption_fields(request: RoutedRequest) -> dict[str, object]:
    """Return which stream a request resumes, and after which event."""
    return {"resumes": request.resumes, "resume_after": request.resume_after}


def refusal_fields(refusal: Refusal) -> dict[str, object]:
    """Return why no server was chosen, and the best placement that was considered."""
    fields: dict[str, object] = {
        "candidates": refusal.candidates,
        "retry_after_ms": round(refusal.retry_after_ms),
        "why": refusal.why.value if refusal.why else None,
    }
    if refusal.best is not None:
        best = placement_fields(refusal.best)
        fields |= {f"best_{name}": value for name, value in best.items()}
    return fields


def placement_fields(placement: Placement) -> dict[str, object]:
    """Return the chosen server and what was known of it."""
    return {
        "backend_server": placement.server.id,
        "software_version": placement.server.software_version,
        "peer": placement.peer.note.name if placement.peer else None,
        "expected_ms": round(placement.expected_ms),
        "unread_tokens": placement.unread_tokens,
        "source": placement.source.id if placement.source else None,
        "loss": round(placement.loss, 3),
        "running": placement.load.running,
        "waiting_tokens": placement.load.unread_tokens,
        "load_age_ms": None if placement.load_age_ms is None else round(placement.load_age_ms),
        "doubt": placement.doubt.name,
    }
