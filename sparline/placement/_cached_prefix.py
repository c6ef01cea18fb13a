"""Which engines hold a prompt's shared prefix in cache, and which can transfer it."""

from dataclasses import dataclass, field

from sparline._ids import BackendServerId, RegionName, SoftwareVersion
from sparline.fleet import BackendServer
from sparline.placement._prompt_cache import PromptCache, is_fleet_wide
from sparline.requests import Prompt

# Shorter prefixes are prefilled again rather than fetched (tokens): at 50 tokens a millisecond that
# takes 20 ms, as long as a fetch takes to set up and to wait for its turn.
MIN_FETCH_TOKENS = 1_000


@dataclass(frozen=True, slots=True)
class CachedPrefix:
    """Locations of the cached shared prefix of one prompt."""

    tokens: dict[BackendServerId, int] = field(default_factory=dict)  # cached tokens by engine
    prefill_owner: BackendServerId | None = None  # engine that is to prefill it, None if one has
    # Largest copy by region and software version: no engine can read what another version wrote.
    sources: dict[tuple[RegionName, SoftwareVersion], BackendServer] = field(default_factory=dict)
    fleet_wide: bool = False  # whether one engine of the whole fleet is to prefill it
    max_tokens: int = 0  # tokens in the largest copy

    def tokens_at(self, server: BackendServer) -> int:
        """Return the tokens that an engine has cached."""
        return self.tokens.get(server.id, 0)

    def source_for(self, server: BackendServer) -> BackendServer | None:
        """Return the engine of the same region and software version from which a server should fetch the prefix."""
        source = self.sources.get((server.region, server.software_version))
        if source is None or self.tokens_at(source) - self.tokens_at(server) < MIN_FETCH_TOKENS:
            return None
        return source


def find_cached_prefix(
    prompt: Prompt | None,
    servers: list[BackendServer],
    healthy: list[BackendServer],
    owner: BackendServerId | None,
    cache: PromptCache,
    fetches: bool,
) -> CachedPrefix:
    """Return where a prompt's prefix is cached among the engines that may run the request.

    `owner` is the engine that is to hold the prefix, None without one. `fetches` says whether
    engines transfer prefixes to each other, which only those in `healthy` do.
    """
    if prompt is None or not prompt.shared_prefixes:
        return CachedPrefix()
    tokens = cache.cached_tokens_at(prompt, [one.id for one in servers])
    if owner is not None and cache.owner_has_cached(prompt):
        tokens[owner] = prompt.shared_tokens
    sources: dict[tuple[RegionName, SoftwareVersion], BackendServer] = {}
    if fetches:
        holders = [one for one in healthy if tokens[one.id] >= MIN_FETCH_TOKENS]
        ready = cache.can_transfer_from(prompt, [one.id for one in holders])
        for server in holders:
            place = (server.region, server.software_version)
            largest = sources.get(place)
            if ready[server.id] and (largest is None or tokens[server.id] > tokens[largest.id]):
                sources[place] = server
    max_tokens = max(tokens.values(), default=0)
    is_cached = max_tokens >= prompt.shared_tokens
    return CachedPrefix(
        tokens, None if is_cached else owner, sources, is_fleet_wide(prompt), max_tokens
    )
