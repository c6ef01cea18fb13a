"""Which prompt starts this instance sent where; nothing of it leaves the instance."""

from collections import OrderedDict

import xxhash

from sparline._ids import BackendServerId

CHARS_PER_TOKEN = 4
# Starts of a prompt that are told apart, in characters.
PREFIX_LENGTHS = (256, 1024, 4096, 16_384)
MAX_KEYS = 20_000


def prefix_keys(organisation: str, target: str, prompt: str) -> tuple[int, ...]:
    """Return one hash for each start of the prompt; organisations never share one."""
    digest = xxhash.xxh64(f"{organisation}\n{target}\n".encode())
    keys: list[int] = []
    begin = 0
    for end in PREFIX_LENGTHS:
        if len(prompt) < end:
            break
        digest.update(prompt[begin:end].encode())
        keys.append(digest.intdigest())
        begin = end
    return tuple(keys)


class PrefixMap:
    """Remember which backend server last saw a prompt's start."""

    def __init__(self) -> None:
        """Start with no prompt seen."""
        self._seen: OrderedDict[int, dict[BackendServerId, str]] = OrderedDict()

    def note(self, keys: tuple[int, ...], server_id: BackendServerId, incarnation: str) -> None:
        """Note that a prompt was read by one incarnation of a backend server."""
        for key in keys:
            self._seen.setdefault(key, {})[server_id] = incarnation
            self._seen.move_to_end(key)
        while len(self._seen) > MAX_KEYS:
            self._seen.popitem(last=False)

    def cached_tokens(
        self, keys: tuple[int, ...], server_id: BackendServerId, incarnation: str
    ) -> int:
        """Return how many tokens a backend server probably still holds."""
        known = 0
        for length, key in zip(PREFIX_LENGTHS, keys, strict=False):
            if self._seen.get(key, {}).get(server_id) != incarnation:
                break
            known = length // CHARS_PER_TOKEN
        return known
