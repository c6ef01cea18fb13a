"""Decisions at the worst load, apart from input and output: typed facts in, typed decisions out.

Nothing here reads a clock, a socket or a table; whoever calls gathers the facts.
"""

from sparline.decisions._admission import AdmissionFacts, RefusedFor, why_refused
from sparline.decisions._return_time import ReturnFacts, return_after_ms, unserved_wait_ms

__all__ = [
    "AdmissionFacts",
    "RefusedFor",
    "ReturnFacts",
    "return_after_ms",
    "unserved_wait_ms",
    "why_refused",
]
