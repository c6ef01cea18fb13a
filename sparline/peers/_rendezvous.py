"""Rendezvous hashing: instances with the same view make the same choice."""

from collections.abc import Iterable
from typing import TypeVar

from sparline._hashing import hash64

Id = TypeVar("Id", bound=str)


def ranked(key: str, ids: Iterable[Id]) -> list[Id]:
    """Return ids by descending hash for a key."""
    return sorted(ids, key=lambda candidate: hash64(f"{key}\n{candidate}"), reverse=True)


def highest_ranked(key: str, ids: Iterable[Id]) -> Id | None:
    """Return the id with the highest hash for a key, None if there are no ids."""
    return max(ids, key=lambda candidate: hash64(f"{key}\n{candidate}"), default=None)
