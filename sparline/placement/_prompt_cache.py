"""Estimate of the prompt prefixes in each engine's cache, from the requests of all instances."""

import random
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

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
        self._use_counts: dict[int, int] = {}

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
            cached[start.key] = start.own_tokens
            cached.move_to_end(start.key)
        while cached and total > cache_tokens * PREFIX_CACHE_SHARE:
            _, tokens = cached.popitem(last=False)
            total -= tokens
        self._prefix_tokens[server_id] = total
        if prompt.shared_tokens >= MIN_FLEET_WIDE_TOKENS:
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
            self._use_counts[key[0]] = self._use_counts.get(key[0], 0) + 1
        self._to_report[key] = at_ms
        self._uses[key] = self._updated_use(known, key[1], at_ms)
        self._uses.move_to_end(key)
        while len(self._uses) > MAX_REPORTS_KEPT:
            self._forget_oldest()

    def _forget_oldest(self) -> None:
        (start, _), _ = self._uses.popitem(last=False)
        self._use_counts[start] -= 1
        if not self._use_counts[start]:
            del self._use_counts[start]

    def cached_tokens(self, prompt: Prompt, server_id: BackendServerId) -> int:
        """Return how many tokens of a prompt an engine probably has cached."""
        if prompt.shared_tokens >= MIN_FLEET_WIDE_TOKENS:
            use = self._uses.get((_hash(prompt), server_id))
            return prompt.shared_tokens if use and self._is_cached(use, server_id) else 0
        cached = self._prefixes.get(server_id)
        found = 0
        if cached is None:
            return 0
        for start in prompt.shared_prefixes:
            if start.key not in cached:
                break
            found += start.own_tokens
        return found

    def _updated_use(self, before: _Use | None, server_id: BackendServerId, at_ms: float) -> _Use:
        cached = before is not None and self._is_cached(before, server_id)
        since_ms = before.since_ms if before is not None and cached else at_ms
        return _Use(since_ms, at_ms, self._filled.get(server_id, 0))

    def can_transfer(self, prompt: Prompt, server_id: BackendServerId) -> bool:
        """Tell whether an engine has finished the prefill of a prefix, as far as is known."""
        use = self._uses.get((_hash(prompt), server_id))
        return use is None or now_ms() - use.since_ms >= PREFILL_TIME_MS

    def _is_cached(self, use: _Use, server_id: BackendServerId) -> bool:
        """Tell whether a prefix used at that time is probably still cached."""
        if use.at_ms <= now_ms() - REPORT_TTL_MS:
            return False
        filled = (self._filled.get(server_id, 0) - use.filled) * max(self._sharing(), 1)
        cache_size = self._cache_sizes.get(server_id)
        return cache_size is None or filled < EVICTION_SHARE * cache_size

    def owner_has_cached(self, prompt: Prompt) -> bool:
        """Tell whether the owner of a prefix is taken to have cached it without any report."""
        if prompt.shared_tokens < MIN_FLEET_WIDE_TOKENS:
            return True
        return self._owners_have_cached and _hash(prompt) not in self._use_counts

    def forget_all_but(self, known: set[BackendServerId]) -> None:
        """Forget engines that are gone."""
        for server_id in [one for one in self._prefixes if one not in known]:
            del self._prefixes[server_id]
            self._prefix_tokens.pop(server_id, None)
        self._filled = {one: tokens for one, tokens in self._filled.items() if one in known}
        self._cache_sizes = {
            one: tokens for one, tokens in self._cache_sizes.items() if one in known
        }


def _hash(prompt: Prompt) -> int:
    # One bit less, so that the hash fits a signed 64-bit integer in every codec.
    return hash64(prompt.shared_prefixes[-1].key) >> 1


def prefix_owner(prompt: Prompt, engines: list[BackendServerId]) -> BackendServerId | None:
    """Return the engine that all instances choose for a prompt's prefix, by rendezvous hashing."""
    if not prompt.shared_prefixes or not engines:
        return None
    key = prompt.shared_prefixes[-1].key
    return max(engines, key=lambda one: hash64(f"{key}/{one}"))
