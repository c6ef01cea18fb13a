"""Which engines hold a prompt's shared prefix in cache, and which can transfer it."""

from dataclasses import dataclass, field

from sparline._ids import BackendServerId, RegionName
from sparline.fleet import BackendServer
from sparline.placement._prompt_cache import MIN_FLEET_WIDE_TOKENS, PromptCache, prefix_owner
from sparline.requests import Prompt

# Shorter prefixes are prefilled again rather than fetched (tokens): at 50 tokens a millisecond that
# takes 20 ms, as long as a fetch takes to set up and to wait for its turn.
MIN_FETCH_TOKENS = 1_000


@dataclass(frozen=True, slots=True)
class CachedPrefix:
    """Locations of the cached shared prefix of one prompt."""

    tokens: dict[BackendServerId, int] = field(default_factory=dict)  # cached tokens by engine
    prefill_owner: BackendServerId | None = None  # engine that is to prefill it, None if one has
    sources: dict[RegionName, BackendServer] = field(default_factory=dict)  # largest copy by region
    fleet_wide: bool = False  # whether one engine of the whole fleet is to prefill it
    max_tokens: int = 0  # tokens in the largest copy

    def tokens_at(self, server: BackendServer) -> int:
        """Return the tokens that an engine has cached."""
        return self.tokens.get(server.id, 0)

    def source_for(self, server: BackendServer) -> BackendServer | None:
        """Return the engine of the same region from which a server should fetch the prefix."""
        source = self.sources.get(server.region)
        if source is None or self.tokens_at(source) - self.tokens_at(server) < MIN_FETCH_TOKENS:
            return None
        return source


def find_cached_prefix(
    prompt: Prompt | None,
    servers: list[BackendServer],
    healthy: list[BackendServer],
    own_region: RegionName,
    cache: PromptCache,
) -> CachedPrefix:
    """Return where a prompt's prefix is cached among the engines that may run the request.

    Only engines in `healthy` are chosen to prefill or transfer it.
    """
    if prompt is None:
        return CachedPrefix()
    owner = _owner(prompt, healthy or servers, own_region)
    tokens = {one.id: cache.cached_tokens(prompt, one.id) for one in servers}
    if owner is not None and cache.owner_has_cached(prompt):
        tokens[owner] = prompt.shared_tokens
    sources: dict[RegionName, BackendServer] = {}
    for server in healthy:
        if not prompt.shared_prefixes or not cache.can_transfer(prompt, server.id):
            continue
        largest = sources.get(server.region)
        if largest is None or tokens[server.id] > tokens[largest.id]:
            sources[server.region] = server
    max_tokens = max(tokens.values(), default=0)
    is_cached = max_tokens >= prompt.shared_tokens
    fleet_wide = prompt.shared_tokens >= MIN_FLEET_WIDE_TOKENS
    return CachedPrefix(tokens, None if is_cached else owner, sources, fleet_wide, max_tokens)


def _owner(
    prompt: Prompt, servers: list[BackendServer], own_region: RegionName
) -> BackendServerId | None:
    """Return the engine that is to hold the prompt's prefix."""
    near = [one for one in servers if one.region == own_region]
    pool = servers if prompt.shared_tokens >= MIN_FLEET_WIDE_TOKENS or not near else near
    return prefix_owner(prompt, [one.id for one in pool])
