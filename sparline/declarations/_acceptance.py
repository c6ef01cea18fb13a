"""Acceptance of a published file: a function of the file alone."""

from collections.abc import Iterable, Iterator
from functools import singledispatch
from typing import Any

from result import Err, Ok, Result

from sparline.declarations._strict_json import Refusal, convert, parse
from sparline.schema._declarations import (
    BackendServers,
    Model,
    Organisations,
    Service,
    Topology,
)
from sparline.schema._fleet import FleetMember

Declaration = Topology | Model | Service | Organisations | BackendServers

_KINDS: dict[str, type[Declaration]] = {
    "topology": Topology,
    "model": Model,
    "service": Service,
    "organisations": Organisations,
    "backend_servers": BackendServers,
}


def accept_file(text: str) -> Result[Declaration, Refusal]:
    """Accept or refuse one whole file; references to other files are settled when used."""
    return parse(text).and_then(_convert_kind).and_then(_check_inner)


def accept_member(text: str) -> Result[FleetMember, Refusal]:
    """Accept or refuse one entry of the platform's list."""
    return parse(text).and_then(lambda tree: convert(tree, FleetMember))


def _convert_kind(tree: Any) -> Result[Declaration, Refusal]:
    if not isinstance(tree, dict):
        return Err(Refusal("$", "an object", type(tree).__name__))
    kind = tree.get("kind")
    node = _KINDS.get(kind) if isinstance(kind, str) else None
    if node is None:
        return Err(Refusal("$.kind", f"one of {', '.join(_KINDS)}", repr(kind)))
    return convert(tree, node)


def _check_inner(declaration: Declaration) -> Result[Declaration, Refusal]:
    fault = next(iter(_inner_faults(declaration)), None)
    return Err(fault) if fault else Ok(declaration)


@singledispatch
def _inner_faults(declaration: Declaration) -> Iterator[Refusal]:
    """Yield what is wrong between the parts of one file."""
    raise TypeError(f"no rule for {type(declaration).__name__}")


@_inner_faults.register
def _(declaration: Topology) -> Iterator[Refusal]:
    regions = [region.name for region in declaration.regions]
    yield from _doubled(regions, "$.regions[{}].name")
    zones = [zone for region in declaration.regions for zone in region.availability_zones]
    yield from _doubled(zones, "$.regions: availability zone {}")
    yield from _doubled(
        [rule.name for rule in declaration.residency_rules], "$.residency_rules[{}].name"
    )
    for index, link in enumerate(declaration.links):
        yield from _unknown(link.between, regions, f"$.links[{index}].between")
        if link.between[0] == link.between[1]:
            yield Refusal(f"$.links[{index}].between", "two regions", "one region twice")
    for index, rule in enumerate(declaration.residency_rules):
        yield from _unknown(rule.regions, regions, f"$.residency_rules[{index}].regions")


@_inner_faults.register
def _(declaration: Model) -> Iterator[Refusal]:
    versions = [version.version for version in declaration.versions]
    yield from _doubled(versions, "$.versions[{}].version")
    yield from _doubled([adapter.name for adapter in declaration.adapters], "$.adapters[{}].name")
    yield from _unknown([declaration.current_version], versions, "$.current_version")


@_inner_faults.register
def _(declaration: Service) -> Iterator[Refusal]:
    yield from _doubled(declaration.repeatable_methods, "$.repeatable_methods[{}]")


@_inner_faults.register
def _(declaration: Organisations) -> Iterator[Refusal]:
    yield from _doubled([one.id for one in declaration.organisations], "$.organisations[{}].id")
    keys = [key for one in declaration.organisations for key in one.key_sha256]
    yield from _doubled(keys, "$.organisations: key {}")


@_inner_faults.register
def _(declaration: BackendServers) -> Iterator[Refusal]:
    yield from _doubled([one.id for one in declaration.backend_servers], "$.backend_servers[{}].id")


def _doubled(names: Iterable[str], path: str) -> Iterator[Refusal]:
    seen: set[str] = set()
    for index, name in enumerate(names):
        if name in seen:
            yield Refusal(path.format(index), "each name once", f"`{name}` twice")
        seen.add(name)


def _unknown(names: Iterable[str], known: Iterable[str], path: str) -> Iterator[Refusal]:
    for name in names:
        if name not in known:
            yield Refusal(path, f"one of {', '.join(known)}", f"`{name}`")
