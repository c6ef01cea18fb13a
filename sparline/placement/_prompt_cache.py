"""Estimate of the prompt prefixes in each engine's cache, from the requests of all instances."""

import random
from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import TypeVar

from sparline._clock import now_ms
from sparline._hashing import hash64
from sparline._ids import BackendServerId
from sparline.requests import Prompt
from sparline.schema._gossip import PromptReadNote

# Shared prefixes of at least this length are prefilled by one engine of the whole fleet (tokens):
# the round trip costs less than prefilling them again.
MIN_FLEET_WIDE_TOKENS = 4_000
# Fraction of an engine's cache that shared prefixes may fill before the oldest count as evicted.
PREFIX_CACHE_SHARE = 0.5
# A cached prefix is reported to peers for this long (ms), which covers every gossip round of a
# small fleet.
REPORTING_MS = 2_500.0
# Maximum number of reports in one datagram, a random sample if there are more, so that it stays
# below 1,400 bytes.
MAX_REPORTS_PER_DATAGRAM = 10
# Two uses of a prefix within this time count as one (ms): reports that arrive on several paths have
# ages that differ slightly.
SAME_USE_MS = 100.0
# Maximum number of reports that are kept, and how long they are valid (ms): prompts that evict a
# prefix from an engine of another region are unknown here.
MAX_REPORTS_KEPT = 20_000
REPORT_TTL_MS = 120_000.0
# Engines evict the least recently used prefix. A prefix counts as cached until other prompts have
# filled this fraction of an engine's cache since its last use; the rest holds running requests.
EVICTION_SHARE = 0.5
# Time after its first use from which a prefix can be transferred to another engine (ms): its
# prefill takes some hundred ms, and before that there is nothing to transfer.
PREFILL_TIME_MS = 600.0

Key = TypeVar("Key", int, str)


@dataclass(frozen=True, slots=True)
class _Use:
    """Uses of a prefix at an engine."""

    since_ms: float  # first use since the last eviction, on this process's clock
    at_ms: float  # last use
    filled: int  # tokens that this instance had sent to the engine by then


class PromptCache:
    """Remembers which prompt prefixes each engine has prefilled, evicting the oldest."""

    def __init__(self, owners_have_cached: bool, sharing: Callable[[], int] = lambda: 1) -> None:
        """Start empty.

        `owners_have_cached` says whether prefixes that no instance reported count as cached by
        their owner. `sharing` returns how many instances send to the same engines as this one.
        """
        self._sharing = sharing
        self._filled: dict[BackendServerId, int] = {}
        self._cache_sizes: dict[BackendServerId, int] = {}
        self._owners_have_cached = owners_have_cached
        self._prefixes: dict[BackendServerId, OrderedDict[str, int]] = {}
        self._prefix_tokens: dict[BackendServerId, int] = {}
        self._to_report: dict[tuple[int, str], float] = {}
        self._rng = random.Random()
        self._uses: OrderedDict[tuple[int, str], _Use] = OrderedDict()
        # Engines with a recorded use of each long prefix, and with each short one in `_prefixes`:
        # keys of dictionaries, which have an order, so that a choice repeats with its seed.
        self._users: dict[int, dict[BackendServerId, None]] = {}
        self._short_holders: dict[str, dict[BackendServerId, None]] = {}

    def note(self, prompt: Prompt, server_id: BackendServerId, cache_tokens: int) -> None:
        """Record that an engine prefills a prompt including its shared prefix."""
        taken = prompt.held_tokens - self.cached_tokens(prompt, server_id)
        self._filled[server_id] = self._filled.get(server_id, 0) + taken
        self._cache_sizes[server_id] = cache_tokens
        cached = self._prefixes.setdefault(server_id, OrderedDict())
        total = self._prefix_tokens.get(server_id, 0)
        for start in prompt.shared_prefixes:
            if start.key not in cached:
                total += start.own_tokens
                self._short_holders.setdefault(start.key, {})[server_id] = None
            cached[start.key] = start.own_tokens
            cached.move_to_end(start.key)
        while cached and total > cache_tokens * PREFIX_CACHE_SHARE:
            evicted, tokens = cached.popitem(last=False)
            total -= tokens
            _discard(self._short_holders, evicted, server_id)
        self._prefix_tokens[server_id] = total
        if is_fleet_wide(prompt):
            self._record_use((_hash(prompt), server_id), now_ms())

    def recent_prefix_uses(self) -> list[PromptReadNote]:
        """Return the reports for peers, a random sample if there are many."""
        now = now_ms()
        since = now - REPORTING_MS
        self._to_report = {key: at_ms for key, at_ms in self._to_report.items() if at_ms >= since}
        keys = list(self._to_report)
        if len(keys) > MAX_REPORTS_PER_DATAGRAM:
            keys = self._rng.sample(keys, MAX_REPORTS_PER_DATAGRAM)
        return [PromptReadNote(round(now - self._to_report[key]), *key) for key in keys]

    def merge_prefix_uses(self, notes: list[PromptReadNote]) -> None:
        """Merge reports from a peer; the latest use of each prefix at each engine counts."""
        now = now_ms()
        for note in notes:
            self._record_use((note.start, note.backend_server), now - max(note.age_ms, 0))

    def _record_use(self, key: tuple[int, str], at_ms: float) -> None:
        """Record that an engine used a prefix at a time, and queue it for peers if it is new."""
        known = self._uses.get(key)
        if known is not None and at_ms < known.at_ms + SAME_USE_MS:
            return
        if known is None:
            self._users.setdefault(key[0], {})[BackendServerId(key[1])] = None
        self._to_report[key] = at_ms
        self._uses[key] = self._updated_use(known, key[1], at_ms)
        self._uses.move_to_end(key)
        while len(self._uses) > MAX_REPORTS_KEPT:
            self._forget_oldest()

    def _forget_oldest(self) -> None:
        (start, server_id), _ = self._uses.popitem(last=False)
        _discard(self._users, start, BackendServerId(server_id))

    def cached_tokens(self, prompt: Prompt, server_id: BackendServerId) -> int:
        """Return how many tokens of a prompt an engine probably has cached."""
        return self.cached_tokens_at(prompt, (server_id,))[server_id]

    def cached_tokens_at(
        self, prompt: Prompt, server_ids: Iterable[BackendServerId]
    ) -> dict[BackendServerId, int]:
        """Return how many tokens of a prompt each engine probably has cached."""
        if not is_fleet_wide(prompt):
            return {one: self._short_tokens(prompt, one) for one in server_ids}
        start, shared_tokens = _hash(prompt), prompt.shared_tokens
        found = {}
        for one in server_ids:
            use = self._uses.get((start, one))
            found[one] = shared_tokens if use and self._is_cached(use, one) else 0
        return found

    def _short_tokens(self, prompt: Prompt, server_id: BackendServerId) -> int:
        cached = self._prefixes.get(server_id)
        found = 0
        if cached is None:
            return 0
        for start in prompt.shared_prefixes:
            if start.key not in cached:
                break
            found += start.own_tokens
        return found

    def holders(self, prompt: Prompt) -> list[BackendServerId]:
        """Return the engines that probably have most of a prompt's prefix cached, in any order."""
        if not prompt.shared_prefixes:
            return []
        if is_fleet_wide(prompt):
            start = _hash(prompt)
            return [
                one
                for one in self._users.get(start, ())
                if self._is_cached(self._uses[start, one], one)
            ]
        held: list[BackendServerId] = []
        for part in prompt.shared_prefixes:
            holders = self._short_holders.get(part.key, {})
            longer = [one for one in held if one in holders] if held else list(holders)
            if not longer:
                break
            held = longer
        return held

    def _updated_use(self, before: _Use | None, server_id: BackendServerId, at_ms: float) -> _Use:
        cached = before is not None and self._is_cached(before, server_id)
        since_ms = before.since_ms if before is not None and cached else at_ms
        return _Use(since_ms, at_ms, self._filled.get(server_id, 0))

    def can_transfer(self, prompt: Prompt, server_id: BackendServerId) -> bool:
        """Tell whether an engine has finished the prefill of a prefix, as far as is known."""
        return self.can_transfer_from(prompt, (server_id,))[server_id]

    def can_transfer_from(
        self, prompt: Prompt, server_ids: Iterable[BackendServerId]
    ) -> dict[BackendServerId, bool]:
        """Tell of each engine whether it has finished the prefill of a prefix, if that is known."""
        start, since_ms = _hash(prompt), now_ms() - PREFILL_TIME_MS
        uses = {one: self._uses.get((start, one)) for one in server_ids}
        return {one: use is None or use.since_ms <= since_ms for one, use in uses.items()}

    def _is_cached(self, use: _Use, server_id: BackendServerId) -> bool:
        """Tell whether a prefix used at that time is probably still cached."""
        if use.at_ms <= now_ms() - REPORT_TTL_MS:
            return False
        filled = (self._filled.get(server_id, 0) - use.filled) * max(self._sharing(), 1)
        cache_size = self._cache_sizes.get(server_id)
        return cache_size is None or filled < EVICTION_SHARE * cache_size

    def owner_has_cached(self, prompt: Prompt) -> bool:
        """Tell whether the owner of a prefix is taken to have cached it without any report."""
        if not is_fleet_wide(prompt):
            return True
        return self._owners_have_cached and _hash(prompt) not in self._users

    def forget_all_but(self, known: set[BackendServerId]) -> None:
        """Forget engines that are gone."""
        for server_id in [one for one in self._prefixes if one not in known]:
            for key in self._prefixes.pop(server_id):
                _discard(self._short_holders, key, server_id)
            self._prefix_tokens.pop(server_id, None)
        self._filled = {one: tokens for one, tokens in self._filled.items() if one in known}
        self._cache_sizes = {
            one: tokens for one, tokens in self._cache_sizes.items() if one in known
        }


def is_fleet_wide(prompt: Prompt) -> bool:
    """Tell whether a prompt's prefix is long enough to be prefilled once in the whole fleet."""
    return prompt.shared_tokens >= MIN_FLEET_WIDE_TOKENS


def _discard(
    holders: dict[Key, dict[BackendServerId, None]], key: Key, server_id: BackendServerId
) -> None:
    """Remove an engine from the holders of a prefix."""
    some = holders.get(key)
    if some is None:
        return
    some.pop(server_id, None)
    if not some:
        del holders[key]


def _hash(prompt: Prompt) -> int:
    # One bit less, so that the hash fits a signed 64-bit integer in every codec.
    return hash64(prompt.shared_prefixes[-1].key) >> 1


def prefix_owner(prompt: Prompt, engines: list[BackendServerId]) -> BackendServerId | None:
    """Return the engine that all instances choose for a prompt's prefix, by rendezvous hashing."""
    if not prompt.shared_prefixes or not engines:
        return None
    key = prompt.shared_prefixes[-1].key
    return max(engines, key=lambda one: hash64(f"{key}/{one}"))
