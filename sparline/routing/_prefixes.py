"""Prompt prefixes sent to each backend server; this data never leaves the instance."""

from collections import OrderedDict

import xxhash

from sparline._ids import BackendServerId

CHARS_PER_TOKEN = 4  # assumed average
# Prefix lengths that are hashed, in characters.
PREFIX_LENGTHS = (256, 1024, 4096, 16_384)
MAX_PREFIXES = 20_000  # the least recently used ones are dropped beyond this number


def prefix_keys(organisation: str, target: str, prompt: str) -> tuple[int, ...]:
    """Return one hash per prefix length; hashes are scoped to an organisation and target."""
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
    """Map prompt prefixes to the backend servers that have processed them (LRU)."""

    def __init__(self) -> None:
        """Create an empty map."""
        self._servers_by_prefix: OrderedDict[int, dict[BackendServerId, str]] = OrderedDict()

    def note(self, keys: tuple[int, ...], server_id: BackendServerId, incarnation: str) -> None:
        """Record that one incarnation of a backend server has processed a prompt."""
        for key in keys:
            self._servers_by_prefix.setdefault(key, {})[server_id] = incarnation
            self._servers_by_prefix.move_to_end(key)
        while len(self._servers_by_prefix) > MAX_PREFIXES:
            self._servers_by_prefix.popitem(last=False)

    def cached_tokens(
        self, keys: tuple[int, ...], server_id: BackendServerId, incarnation: str
    ) -> int:
        """Return the number of prompt tokens that a backend server probably has cached."""
        cached = 0
        for length, key in zip(PREFIX_LENGTHS, keys, strict=False):
            if self._servers_by_prefix.get(key, {}).get(server_id) != incarnation:
                break
            cached = length // CHARS_PER_TOKEN
        return cached
