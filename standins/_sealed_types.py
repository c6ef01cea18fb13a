"""Faults of the stand-in for backend servers, and what it notes of requests."""

from dataclasses import dataclass, field

from gevent.event import Event

from sparline._clock import now_ms


@dataclass(slots=True)
class SealedFaults:
    """Hold the faults that are switched on; zero, empty and False are off."""

    refuse: bool = False  # answer 503 with proof that nothing ran
    fail: bool = False  # run, then answer 500
    close_after_run: bool = False  # run, then close without an answer
    hang: bool = False  # run, and never answer
    break_within_event: int = 0  # cut the stream within this event
    break_after_event: int = 0  # cut the stream after this event
    exit_after_event: int = 0  # end the process after this event of a stream
    # A cut closes the connection instead of resetting it; the chunks of a stream then get their end
    # all the same.
    breaks_cleanly: bool = False
    stop_after_event: int = 0  # fall silent after this event
    surplus_answer: bytes = b""  # bytes sent before the answer
    garbage: bytes = b""  # bytes sent after the whole answer
    unframed: bool = False  # end the body with the connection
    chunked: bool = False  # send the body of a plain answer in chunks
    status: int = 0  # answer with this status and a plain body
    body_bytes: int = 0  # length of a plain answer that repeats the name of the server
    break_after_bytes: int = 0  # cut a plain answer after so many bytes of its body
    exit_after_bytes: int = 0  # end the process after so many bytes of a plain answer
    may_cut: Event | None = None  # waited for before a plain answer is cut, None for at once
    without_ids: bool = False  # leave the ids of events out
    begins_anew: bool = False  # send a stream from its start, whatever `Last-Event-Id` says
    without_seal: bool = False  # leave the signature out
    # Answer without an end at this place of `endless_answers` or `endless_streams`; empty for none.
    endless: str = ""
    early: bool = False  # answer before a long body is in
    remaining: int = -1  # requests that the faults still apply to, -1 for all
    later: "SealedFaults | None" = None  # faults of the requests after those, None for none


@dataclass(slots=True)
class SealedRun:
    """Hold one run of one request."""

    request_id: str  # as it arrived
    headers: dict[str, str]  # names in lower case
    body: bytes  # as it arrived
    target: str  # path and query as they arrived
    version: str = ""  # software version of the server that ran it
    at_ms: float = field(default_factory=now_ms)  # when it began
    finished: bool = False  # whether the run came to its end
    abandoned: bool = False  # whether the connection closed before the end
    was_reset: bool = False  # whether the server reset the connection before the end

    @property
    def shared_parts(self) -> list[str]:
        """Return the names of the prompt's parts but the last."""
        parts = self.headers.get("prompt-prefix", "").split(",")
        return [one.strip().rpartition(":")[0] for one in parts[:-1]]

    @property
    def first_event(self) -> int:
        """Return the id of the first event that it writes."""
        return int(self.headers.get("last-event-id", "0")) + 1


@dataclass(frozen=True, slots=True)
class SealedArrival:
    """Hold one request that reached the server and was meant for it, run or refused."""

    request_id: str  # as it arrived
    at_ms: float  # when its head was read
