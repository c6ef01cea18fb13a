"""Which prompt parts each engine probably keeps, from what was sent there."""

from collections import OrderedDict

from sparline._hashing import hash64
from sparline._ids import BackendServerId
from sparline.requests import Prompt

# Part of an engine's memory that shared parts may take before the oldest count as given up.
KEPT_SHARE = 0.5


class PromptCache:
    """Remember the starts of prompts that were sent to each engine, the oldest give way."""

    def __init__(self) -> None:
        """Start with nothing."""
        self._kept: dict[BackendServerId, OrderedDict[str, int]] = {}
        self._tokens: dict[BackendServerId, int] = {}

    def note(self, prompt: Prompt, server_id: BackendServerId, cache_tokens: int) -> None:
        """Note that an engine has read the shared start of a prompt."""
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

    def cached_tokens(self, prompt: Prompt, server_id: BackendServerId) -> int:
        """Return how much of a prompt an engine probably keeps."""
        kept = self._kept.get(server_id)
        found = 0
        if kept is None:
            return 0
        for start in prompt.shared_starts:
            if start.key not in kept:
                break
            found += start.own_tokens
        return found

    def forget_all_but(self, known: set[BackendServerId]) -> None:
        """Forget engines that are gone."""
        for server_id in [one for one in self._kept if one not in known]:
            del self._kept[server_id]
            self._tokens.pop(server_id, None)


def owner_of(prompt: Prompt, engines: list[BackendServerId]) -> BackendServerId | None:
    """Return the engine that all instances agree on for a prompt's start."""
    if not prompt.shared_starts or not engines:
        return None
    key = prompt.shared_starts[-1].key
    return max(engines, key=lambda one: hash64(f"{key}/{one}"))
