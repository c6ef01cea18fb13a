"""Facts and changes of backend server exits by the parts of prompts."""

from dataclasses import dataclass

from sparline._ids import PartDigest
from sparline.quarantine._crash_table import FactSource
from sparline.quarantine._request_sample import RequestSample


@dataclass(frozen=True, slots=True)
class PartFact:
    """Represent the exits under one part."""

    part: PartDigest
    exits: frozenset[int]  # keys of the exits
    cleared: frozenset[int]  # those of them that an answer or an operator has excused
    overlapping: frozenset[int]  # those of them that count as one with another
    carriers: RequestSample  # interrupted requests that have the part
    bystanders: RequestSample  # requests that the exits interrupted, with the part or without
    age_ms: float  # time since the newest exit
    # Complete answers to requests without it since the first exit that is not excused: the most that
    # one instance has seen, at most `MIN_ANSWERS_BESIDE`.
    answers_beside: int = 0


@dataclass(frozen=True, slots=True)
class PartChange:
    """Represent a change in the record of one part."""

    fact: PartFact  # state after the change
    exits: int  # exits not excused after the change
    exits_before: int  # exits not excused before the change
    learnt: FactSource  # source of the change
    is_urgent: bool  # whether every instance is to know it at once


@dataclass(frozen=True, slots=True)
class QuarantinedPart:
    """Describe a part in quarantine."""

    part: PartDigest
    exits: frozenset[int]  # keys of the exits that count
    overlapping: frozenset[int]  # keys of those that count as one with another
    carriers: float  # interrupted requests that have it (count, estimated)
    bystanders: float  # requests that the exits interrupted (count, estimated)
    age_ms: float  # time since the newest exit
