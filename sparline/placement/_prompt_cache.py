"""Which prompt parts each engine probably keeps, from what was sent there by anyone."""

from collections import OrderedDict, deque

from sparline._clock import now_ms
from sparline._hashing import hash64
from sparline._ids import BackendServerId
from sparline.requests import Prompt
from sparline.schema._gossip import PromptReadNote

# Shared starts at least this long are read by one engine of the whole fleet (tokens): the way
# there and back costs less than reading them again, at any measured pace (30 to 100 tokens/ms).
FLEET_WIDE_TOKENS = 4_000
# Part of an engine's memory that shared parts may take before the oldest count as given up.
KEPT_SHARE = 0.5
# A read is told to peers for this long (ms): every one of a small fleet's turns comes within it.
TELL_MS = 2_500.0
# Most reads told in one datagram (count), so that it stays below 1,400 bytes.
MOST_TOLD = 16
# Reads heard from peers that are remembered (count), and for how long (ms): engines give long
# starts up when they are not asked for.
MOST_HEARD = 20_000
HEARD_MS = 120_000.0


class PromptCache:
    """Remember which starts of prompts each engine has read; the oldest give way."""

    def __init__(self, owners_have_read: bool) -> None:
        """`owners_have_read` says whether starts that nobody told of were read before."""
        self._owners_have_read = owners_have_read
        self._kept: dict[BackendServerId, OrderedDict[str, int]] = {}
        self._tokens: dict[BackendServerId, int] = {}
        self._news: deque[tuple[float, PromptReadNote]] = deque()
        self._heard: OrderedDict[tuple[int, str], float] = OrderedDict()
        self._heard_starts: dict[int, int] = {}

    def note(self, prompt: Prompt, server_id: BackendServerId, cache_tokens: int) -> None:
        """Note that an engine reads the shared start of a prompt."""
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
            note = PromptReadNote(_hash(prompt), server_id)
            self._news.append((now_ms(), note))
            self.take_reads([note])

    def recent_reads(self) -> list[PromptReadNote]:
        """Return the reads to tell peers, the newest ones where there are many."""
        since = now_ms() - TELL_MS
        while self._news and self._news[0][0] < since:
            self._news.popleft()
        return [note for _, note in list(self._news)[-MOST_TOLD:]]

    def take_reads(self, notes: list[PromptReadNote]) -> None:
        """Take in what a peer told."""
        for note in notes:
            key = (note.start, note.backend_server)
            if key not in self._heard:
                self._heard_starts[note.start] = self._heard_starts.get(note.start, 0) + 1
            self._heard[key] = now_ms()
            self._heard.move_to_end(key)
        while len(self._heard) > MOST_HEARD:
            self._forget_oldest()

    def _forget_oldest(self) -> None:
        (start, _), _ = self._heard.popitem(last=False)
        self._heard_starts[start] -= 1
        if not self._heard_starts[start]:
            del self._heard_starts[start]

    def cached_tokens(self, prompt: Prompt, server_id: BackendServerId) -> int:
        """Return how much of a prompt an engine probably keeps."""
        if prompt.shared_tokens >= FLEET_WIDE_TOKENS:
            heard_ms = self._heard.get((_hash(prompt), server_id), 0.0)
            if heard_ms > now_ms() - HEARD_MS:
                return prompt.shared_tokens
        kept = self._kept.get(server_id)
        found = 0
        if kept is None:
            return 0
        for start in prompt.shared_starts:
            if start.key not in kept:
                break
            found += start.own_tokens
        return found

    def owner_has_read(self, prompt: Prompt) -> bool:
        """Tell whether the owner of a start is taken to keep it though nobody told of it."""
        if prompt.shared_tokens < FLEET_WIDE_TOKENS:
            return True
        return self._owners_have_read and _hash(prompt) not in self._heard_starts

    def forget_all_but(self, known: set[BackendServerId]) -> None:
        """Forget engines that are gone."""
        for server_id in [one for one in self._kept if one not in known]:
            del self._kept[server_id]
            self._tokens.pop(server_id, None)


def _hash(prompt: Prompt) -> int:
    # Half of the hash, so that it stays a number that every codec carries.
    return hash64(prompt.shared_starts[-1].key) >> 1


def owner_of(prompt: Prompt, engines: list[BackendServerId]) -> BackendServerId | None:
    """Return the engine that all instances agree on for a prompt's start."""
    if not prompt.shared_starts or not engines:
        return None
    key = prompt.shared_starts[-1].key
    return max(engines, key=lambda one: hash64(f"{key}/{one}"))
