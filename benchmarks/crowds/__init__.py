"""Small crowds of clients that do not behave, and what instances of lowered limits bear."""

from benchmarks.crowds._behaviours import (
    Behaviour,
    half_a_head,
    sends_too_much,
    stops_in_chunks,
    stops_short,
    too_much_announced,
    unread_answer,
    whole_body,
)
from benchmarks.crowds._clients import Crowd, CrowdClient
from benchmarks.crowds._ordinary import answer_to_ordinary_request, ask_with_full_body
from benchmarks.crowds._processes import ProcessWatch
from benchmarks.crowds._site import (
    DESCRIPTORS,
    MEMORY_MB,
    SLOW_SERVER,
    crowd_site,
    runs_of,
)

__all__ = [
    "DESCRIPTORS",
    "MEMORY_MB",
    "SLOW_SERVER",
    "Behaviour",
    "Crowd",
    "CrowdClient",
    "ProcessWatch",
    "answer_to_ordinary_request",
    "ask_with_full_body",
    "crowd_site",
    "half_a_head",
    "runs_of",
    "sends_too_much",
    "stops_in_chunks",
    "stops_short",
    "too_much_announced",
    "unread_answer",
    "whole_body",
]
