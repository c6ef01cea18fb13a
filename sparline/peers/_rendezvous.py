"""Rendezvous hashing: every instance with the same view makes the same choice."""

from collections.abc import Iterable
from typing import TypeVar

from sparline._hashing import hash64

Id = TypeVar("Id", bound=str)


def ranked(key: str, ids: Iterable[Id]) -> list[Id]:
    """Return ids in the order in which they take on a duty."""
    return sorted(ids, key=lambda one: hash64(f"{key}\n{one}"), reverse=True)


def first(key: str, ids: Iterable[Id]) -> Id | None:
    """Return the id that takes on a duty, None where there is none."""
    return max(ids, key=lambda one: hash64(f"{key}\n{one}"), default=None)
