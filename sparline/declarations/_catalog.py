"""What the files in force say, resolved for use."""

import hashlib
from dataclasses import dataclass, field

from sparline._ids import BackendServerId, InstanceId, OrganisationId, RegionName, TargetName
from sparline.declarations._records import RecordStore
from sparline.schema._declarations import (
    BackendServer,
    BackendServers,
    Model,
    Organisation,
    Organisations,
    RegionLink,
    Service,
    Topology,
)
from sparline.schema._fleet import FleetMember, FleetRole

# Used between regions for which no file names a link.
UNKNOWN_LINK_DELAY_MS = 50.0


@dataclass(slots=True)
class Catalog:
    """Answer questions about the files and the fleet list in force."""

    models: dict[TargetName, Model] = field(default_factory=dict)
    services: dict[TargetName, Service] = field(default_factory=dict)
    organisations: dict[OrganisationId, Organisation] = field(default_factory=dict)
    instances: dict[InstanceId, FleetMember] = field(default_factory=dict)
    backend_servers: dict[BackendServerId, FleetMember] = field(default_factory=dict)
    backend_details: dict[BackendServerId, BackendServer] = field(default_factory=dict)
    model_revisions: dict[TargetName, int] = field(default_factory=dict)
    placement_revisions: dict[BackendServerId, int] = field(default_factory=dict)
    _by_region: dict[str, list[FleetMember]] = field(default_factory=dict)
    _residency: dict[str, frozenset[RegionName]] = field(default_factory=dict)
    _links: dict[frozenset[str], RegionLink] = field(default_factory=dict)
    _engine_prices: dict[str, float] = field(default_factory=dict)
    _keys: dict[str, Organisation] = field(default_factory=dict)

    def organisation_of_key(self, key: str) -> Organisation | None:
        """Return the organisation that a bearer key belongs to."""
        return self._keys.get(hashlib.sha256(key.encode()).hexdigest())

    def regions(self) -> list[str]:
        """Return the regions that have instances."""
        return list(self._by_region)

    def instances_in_region(self, region: str) -> list[FleetMember]:
        """Return the instances of a region, so that no duty looks at the whole fleet."""
        return self._by_region.get(region, [])

    def allowed_regions(self, rule: str) -> frozenset[RegionName]:
        """Return the regions of a residency rule; a rule not in force allows none."""
        return self._residency.get(rule, frozenset())

    def link_delay_ms(self, one: str, other: str) -> float:
        """Return the one-way delay between two regions."""
        if one == other:
            return 0.0
        link = self._links.get(frozenset((one, other)))
        return link.delay_ms if link else UNKNOWN_LINK_DELAY_MS

    def link_price_per_gb(self, one: str, other: str) -> float:
        """Return the price of a gigabyte between two regions."""
        link = self._links.get(frozenset((one, other)))
        return link.price_per_gb if link else 0.0

    def engine_price_per_hour(self, region: str) -> float:
        """Return the price of one busy engine for an hour."""
        return self._engine_prices.get(region, 1.0)


def build_catalog(store: RecordStore) -> Catalog:
    """Resolve the records in force."""
    catalog = Catalog()
    for accepted in sorted(store.in_force(), key=lambda one: one.record.revision):
        _add(catalog, accepted.content, accepted.record.revision)
    return catalog


def _add(catalog: Catalog, content: object, revision: int) -> None:
    match content:
        case FleetMember():
            _add_member(catalog, content)
        case Topology():
            _add_topology(catalog, content)
        case Model():
            catalog.models[TargetName(content.name)] = content
            catalog.model_revisions[TargetName(content.name)] = revision
        case Service():
            catalog.services[TargetName(content.name)] = content
        case Organisations():
            for organisation in content.organisations:
                _add_organisation(catalog, organisation)
        case BackendServers():
            for detail in content.backend_servers:
                catalog.backend_details[BackendServerId(detail.id)] = detail
                catalog.placement_revisions[BackendServerId(detail.id)] = revision


def _add_member(catalog: Catalog, member: FleetMember) -> None:
    if member.role is FleetRole.instance:
        catalog.instances[InstanceId(member.id)] = member
        catalog._by_region.setdefault(member.region, []).append(member)
    else:
        catalog.backend_servers[BackendServerId(member.id)] = member


def _add_topology(catalog: Catalog, topology: Topology) -> None:
    for region in topology.regions:
        catalog._engine_prices[region.name] = region.engine_price_per_hour
    for link in topology.links:
        catalog._links[frozenset(link.between)] = link
    for rule in topology.residency_rules:
        catalog._residency[rule.name] = frozenset(RegionName(name) for name in rule.regions)


def _add_organisation(catalog: Catalog, organisation: Organisation) -> None:
    before = catalog.organisations.get(OrganisationId(organisation.id))
    for key in before.key_sha256 if before else ():
        if catalog._keys.get(key) is before:
            del catalog._keys[key]
    catalog.organisations[OrganisationId(organisation.id)] = organisation
    for key in organisation.key_sha256:
        catalog._keys[key] = organisation
