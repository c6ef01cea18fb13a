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
FLEET_WIDE_TOKENS = 4_000
# Fraction of an engine's cache that shared prefixes may fill before the oldest count as evicted.
KEPT_SHARE = 0.5
# A cached prefix is reported to peers for this long (ms), which covers every gossip round of a
# small fleet.
TELL_MS = 2_500.0
# Maximum number of reports in one datagram, a random sample if there are more, so that it stays
# below 1,400 bytes.
MOST_TOLD = 10
# Two uses of a prefix within this time count as one (ms): reports that arrive on several paths have
# ages that differ slightly.
SAME_USE_MS = 100.0
# Maximum number of reports from peers that are kept, and how long they are kept (ms); engines of
# other regions do work that is unknown here.
MOST_HEARD = 20_000
HEARD_MS = 120_000.0
# Engines evict the least recently used prefix. A prefix counts as cached until other prompts have
# filled this fraction of an engine's cache since its last use; the rest holds running requests.
FILLED_SHARE = 0.5
# Time after its first use from which a prefix can be transferred to another engine (ms): its
# prefill takes some hundred ms, and before that there is nothing to transfer.
READ_BY_MS = 600.0


@dataclass(frozen=True, slots=True)
class _Use:
    """Uses of a prefix at an engine."""

    since_ms: float  # first use since the last eviction, on this process's clock
    at_ms: float  # last use
    filled: int  # tokens that this instance had sent to the engine by then


class PromptCache:
    """Remembers which prompt prefixes each engine has prefilled, evicting the oldest."""

    def __init__(self, owners_have_read: bool, sharing: Callable[[], int] = lambda: 1) -> None:
        """Start empty.

        `owners_have_read` says whether prefixes that no instance reported are taken to be cached by
        their owner. `sharing` returns how many instances send to the same engines as this one.
        """
        self._sharing = sharing
        self._filled: dict[BackendServerId, int] = {}
        self._memory: dict[BackendServerId, int] = {}
        self._owners_have_read = owners_have_read
        self._kept: dict[BackendServerId, OrderedDict[str, int]] = {}
        self._tokens: dict[BackendServerId, int] = {}
        self._news: dict[tuple[int, str], float] = {}
        self._chance = random.Random()
        self._heard: OrderedDict[tuple[int, str], _Use] = OrderedDict()
        self._heard_starts: dict[int, int] = {}

    def note(self, prompt: Prompt, server_id: BackendServerId, cache_tokens: int) -> None:
        """Record that an engine prefills a prompt including its shared prefix."""
        taken = prompt.held_tokens - self.cached_tokens(prompt, server_id)
        self._filled[server_id] = self._filled.get(server_id, 0) + taken
        self._memory[server_id] = cache_tokens
        kept = self._kept.setdefault(server_id, OrderedDict())
        total = self._tokens.get(server_id, 0)
        for start in prompt.shared_starts:
            if start.key not in kept:
                total += start.own_tokens
            kept[start.key] = start.own_tokens
            kept.move_to_end(start.key)
        while kept and total > cache_tokens * KEPT_SHARE:
            _, tokens = kept.popitem(last=False)
            total -= tokens
        self._tokens[server_id] = total
        if prompt.shared_tokens >= FLEET_WIDE_TOKENS:
            self._take_read((_hash(prompt), server_id), now_ms())

    def recent_reads(self) -> list[PromptReadNote]:
        """Return the reports for peers, a random sample if there are many."""
        now = now_ms()
        since = now - TELL_MS
        self._news = {key: at_ms for key, at_ms in self._news.items() if at_ms >= since}
        keys = list(self._news)
        if len(keys) > MOST_TOLD:
            keys = self._chance.sample(keys, MOST_TOLD)
        return [PromptReadNote(round(now - self._news[key]), *key) for key in keys]

    def take_reads(self, notes: list[PromptReadNote]) -> None:
        """Merge reports from a peer; the latest use of each prefix at each engine counts."""
        now = now_ms()
        for note in notes:
            self._take_read((note.start, note.backend_server), now - max(note.age_ms, 0))

    def _take_read(self, key: tuple[int, str], at_ms: float) -> None:
        """Record that an engine used a prefix at a time, and queue it for peers if it is new."""
        known = self._heard.get(key)
        if known is not None and at_ms < known.at_ms + SAME_USE_MS:
            return
        if known is None:
            self._heard_starts[key[0]] = self._heard_starts.get(key[0], 0) + 1
        self._news[key] = at_ms
        self._heard[key] = self._used(known, key[1], at_ms)
        self._heard.move_to_end(key)
        while len(self._heard) > MOST_HEARD:
            self._forget_oldest()

    def _forget_oldest(self) -> None:
        (start, _), _ = self._heard.popitem(last=False)
        self._heard_starts[start] -= 1
        if not self._heard_starts[start]:
            del self._heard_starts[start]

    def cached_tokens(self, prompt: Prompt, server_id: BackendServerId) -> int:
        """Return how many tokens of a prompt an engine probably has cached."""
        if prompt.shared_tokens >= FLEET_WIDE_TOKENS:
            use = self._heard.get((_hash(prompt), server_id))
            return prompt.shared_tokens if use and self._is_kept(use, server_id) else 0
        kept = self._kept.get(server_id)
        found = 0
        if kept is None:
            return 0
        for start in prompt.shared_starts:
            if start.key not in kept:
                break
            found += start.own_tokens
        return found

    def _used(self, before: _Use | None, server_id: BackendServerId, at_ms: float) -> _Use:
        kept = before is not None and self._is_kept(before, server_id)
        since_ms = before.since_ms if before is not None and kept else at_ms
        return _Use(since_ms, at_ms, self._filled.get(server_id, 0))

    def can_pass_on(self, prompt: Prompt, server_id: BackendServerId) -> bool:
        """Tell whether an engine has finished the prefill of a prefix, as far as is known."""
        use = self._heard.get((_hash(prompt), server_id))
        return use is None or now_ms() - use.since_ms >= READ_BY_MS

    def _is_kept(self, use: _Use, server_id: BackendServerId) -> bool:
        """Tell whether a prefix used at that time is probably still cached."""
        if use.at_ms <= now_ms() - HEARD_MS:
            return False
        filled = (self._filled.get(server_id, 0) - use.filled) * max(self._sharing(), 1)
        memory = self._memory.get(server_id)
        return memory is None or filled < FILLED_SHARE * memory

    def owner_has_read(self, prompt: Prompt) -> bool:
        """Tell whether the owner of a prefix is taken to have cached it without any report."""
        if prompt.shared_tokens < FLEET_WIDE_TOKENS:
            return True
        return self._owners_have_read and _hash(prompt) not in self._heard_starts

    def forget_all_but(self, known: set[BackendServerId]) -> None:
        """Forget engines that are gone."""
        for server_id in [one for one in self._kept if one not in known]:
            del self._kept[server_id]
            self._tokens.pop(server_id, None)
        self._filled = {one: tokens for one, tokens in self._filled.items() if one in known}
        self._memory = {one: tokens for one, tokens in self._memory.items() if one in known}


def _hash(prompt: Prompt) -> int:
    # One bit less, so that the hash fits a signed 64-bit integer in every codec.
    return hash64(prompt.shared_starts[-1].key) >> 1


def owner_of(prompt: Prompt, engines: list[BackendServerId]) -> BackendServerId | None:
    """Return the engine that all instances choose for a prompt's prefix, by rendezvous hashing."""
    if not prompt.shared_starts or not engines:
        return None
    key = prompt.shared_starts[-1].key
    return max(engines, key=lambda one: hash64(f"{key}/{one}"))
