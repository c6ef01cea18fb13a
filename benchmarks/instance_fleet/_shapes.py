"""The users' fleets: regions, zones, engines, services, links and files."""

import hashlib
import json
from dataclasses import dataclass, field
from typing import Any


@dataclass(frozen=True, slots=True)
class ZoneShape:
    """Describe one availability zone."""

    name: str  # availability zone
    region: str  # region that it lies in
    engines: int  # engines there
    services: int  # backend servers of the plain service there
    instances: int = 3  # entry instances there


@dataclass(frozen=True, slots=True)
class Shape:
    """Describe one user's fleet."""

    user: str  # name of the shape
    model: str  # model that the engines serve
    service: str  # plain service beside them
    objective: str  # what routing weighs most
    zones: tuple[ZoneShape, ...]  # all zones
    link_delay_ms: float  # one-way delay between regions
    price_per_gb: float = 0.08  # price between regions
    slots: int = 8  # slots of an engine
    prefill_tokens_per_s: float = 8000.0  # prefill speed of an engine
    token_interval_ms: float = 10.0  # decode speed of an engine
    cache_tokens: int = 20_000  # prefix cache of an engine
    adapters: tuple[str, ...] = ()  # adapters of the model
    limit_per_s: float = 1000.0  # limit of each organisation
    more_models: int = 0  # models beside the first, held by some of the engines each
    timing: dict[str, int] = field(default_factory=dict)  # settings that differ from the defaults

    @property
    def models(self) -> list[str]:
        """Return the names of all models."""
        return [self.model, *(f"{self.model}-{number}" for number in range(self.more_models))]

    def model_of(self, engine_number: int) -> str:
        """Return the model that an engine of a zone holds."""
        return self.models[engine_number % len(self.models)]

    @property
    def regions(self) -> list[str]:
        """Return the regions in order."""
        return list(dict.fromkeys(zone.region for zone in self.zones))


CARVALHO = Shape(
    user="carvalho",
    model="sparline-cores",
    service="core-registry",
    objective="tail_latency",
    zones=(
        ZoneShape("lisboa-hall-a", "lisboa", 2, 1),
        ZoneShape("porto-hall-b", "porto", 2, 1),
        ZoneShape("beja-depot", "beja", 2, 1),
    ),
    link_delay_ms=15.0,
)

SKOVMARK = Shape(
    user="skovmark",
    model="sparline-pool",
    service="tile-api",
    objective="cost",
    zones=(
        ZoneShape("ballerup-hall", "dk-east", 2, 1),
        ZoneShape("herning-hall", "dk-west", 2, 1),
        ZoneShape("malmo-hall", "se-south", 1, 1),
    ),
    link_delay_ms=15.0,
)

SHAPES = {shape.user: shape for shape in (CARVALHO, SKOVMARK)}


@dataclass(frozen=True, slots=True)
class OrganisationShape:
    """Describe one organisation of the load."""

    name: str  # id of the organisation
    home_region: str  # where its callers are
    residency_rule: str  # rule that binds it
    allowed: tuple[str, ...]  # regions of that rule

    @property
    def key(self) -> str:
        """Return its bearer key; a made-up one, for stand-ins alone."""
        return f"key-of-{self.name}"


def organisations_of(shape: Shape, per_region: int = 3) -> list[OrganisationShape]:
    """Return organisations for each region; about a third are bound to their home."""
    found = []
    for region in shape.regions:
        for number in range(per_region):
            bound = number % 3 == 0
            rule = f"only-{region}" if bound else "anywhere"
            allowed = (region,) if bound else tuple(shape.regions)
            found.append(OrganisationShape(f"org-{region}-{number}", region, rule, allowed))
    return found


ORGANISATIONS_PER_FILE = 20


def files_of(
    shape: Shape, organisations: list[OrganisationShape], engines: dict[str, str]
) -> dict[str, dict[str, Any]]:
    """Return the files that operators would publish; `engines` names the model of each."""
    files = {
        "topology": _topology(shape),
        f"services/{shape.service}": {
            "kind": "service",
            "name": shape.service,
            "objective": shape.objective,
        },
        "backend-servers/00": {
            "kind": "backend_servers",
            "backend_servers": [
                {"id": one, "orders": "fenced", "models": [model]} for one, model in engines.items()
            ],
        },
    }
    for model in shape.models:
        files[f"models/{model}"] = model_file(shape, "v1") | {"name": model}
    for begin in range(0, len(organisations), ORGANISATIONS_PER_FILE):
        group = organisations[begin : begin + ORGANISATIONS_PER_FILE]
        files[f"organisations/{begin // ORGANISATIONS_PER_FILE:03}"] = _organisations(shape, group)
    return files


def model_file(shape: Shape, version: str) -> dict[str, Any]:
    """Return the first model's file with a version in force."""
    return {
        "kind": "model",
        "name": shape.model,
        "versions": [{"version": one, "weights": f"{shape.model}-{one}"} for one in ("v1", "v2")],
        "current_version": version,
        "adapters": [{"name": one, "weights": f"{shape.model}-{one}"} for one in shape.adapters],
        "objective": shape.objective,
    }


def _topology(shape: Shape) -> dict[str, Any]:
    regions = shape.regions
    pairs = [(one, other) for index, one in enumerate(regions) for other in regions[index + 1 :]]
    rules = [{"name": "anywhere", "regions": regions}]
    rules += [{"name": f"only-{region}", "regions": [region]} for region in regions]
    zones = {
        region: [zone.name for zone in shape.zones if zone.region == region] for region in regions
    }
    return {
        "kind": "topology",
        "regions": [
            {"name": region, "availability_zones": names, "engine_price_per_hour": 2.0}
            for region, names in zones.items()
        ],
        "links": [
            {
                "between": list(pair),
                "delay_ms": shape.link_delay_ms,
                "price_per_gb": shape.price_per_gb,
            }
            for pair in pairs
        ],
        "residency_rules": rules,
    }


def _organisations(shape: Shape, organisations: list[OrganisationShape]) -> dict[str, Any]:
    return {
        "kind": "organisations",
        "organisations": [
            {
                "id": one.name,
                "key_sha256": [hashlib.sha256(one.key.encode()).hexdigest()],
                "residency_rule": one.residency_rule,
                "home_region": one.home_region,
                "requests_per_s": shape.limit_per_s,
                "burst_requests": max(shape.limit_per_s, 20),
            }
            for one in organisations
        ],
    }


def as_body(document: dict[str, Any]) -> str:
    """Return a file as operators publish it."""
    return json.dumps(document, sort_keys=True)
