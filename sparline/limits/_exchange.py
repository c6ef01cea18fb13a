"""Reports of demand to the owners of limits, and their answers."""

from collections import defaultdict
from dataclasses import dataclass

from sparline._clock import now_ms
from sparline._ids import InstanceId, OrganisationId
from sparline._metrics import Metrics
from sparline.declarations import Catalog
from sparline.limits._enforcer import LimitEnforcer
from sparline.limits._owner import LimitOwner, LimitTerms, Reported, View
from sparline.peers import Membership, Mesh, PeerLink, highest_ranked
from sparline.schema._messages import Demand, LimitReport, LimitShares, Share


@dataclass(frozen=True, slots=True)
class _SeenRegion:
    """Hold the live instances of a region, and since when they are these."""

    live: frozenset[InstanceId]  # live instances
    since_ms: float  # when they last changed


class LimitExchange:
    """Report this instance's demand, and answer the reports of others.

    The owner of a limit is the instance that rendezvous hashing names among the live
    instances of the organisation's home region. A report names only organisations
    that are active here, so the cost follows the traffic of a node, not the fleet.
    """

    def __init__(
        self,
        enforcer: LimitEnforcer,
        membership: Membership,
        mesh: Mesh,
        metrics: Metrics,
        settle_ms: float,
    ) -> None:
        """Start as the owner of nothing."""
        self.catalog = Catalog()  # replaced when the files change
        self._enforcer = enforcer
        self._membership = membership
        self._mesh = mesh
        self._metrics = metrics
        self._owner = LimitOwner()
        self._settle_ms = settle_ms
        self._seen: dict[str, _SeenRegion] = {}

    def report(self) -> None:
        """Send demand to the owner of each active organisation's limit."""
        for region in self.catalog.regions():
            self._view(region)
        self._enforcer.instances_in_fleet = max(len(self.catalog.instances), 1)
        self._owner.drop(
            {one for one in self._owner.owned() if self._owner_of(one) != self._membership.self_id}
        )
        by_owner: dict[InstanceId, list[Demand]] = defaultdict(list)
        for demand in self._enforcer.demands():
            owner = self._owner_of(OrganisationId(demand.organisation))
            if owner is not None:
                by_owner[owner].append(demand)
        for owner, demands in by_owner.items():
            self._report_to(owner, demands)

    def _report_to(self, owner: InstanceId, demands: list[Demand]) -> None:
        if owner == self._membership.self_id:
            self.take_shares(LimitShares(self._answer(owner, demands)))
            return
        link = self._membership.link_of(owner) or self._mesh.request_link(owner)
        if link is not None:
            self._mesh.request_link(owner)
            link.send(LimitReport(demands))

    def _owner_of(self, organisation: OrganisationId) -> InstanceId | None:
        declared = self.catalog.organisations.get(organisation)
        if declared is None:
            return None
        return highest_ranked(
            f"limit/{organisation}", self._membership.live_in_region(declared.home_region)
        )

    def take_report(self, link: PeerLink, report: LimitReport) -> None:
        """Answer another instance's report."""
        reporter = InstanceId(link.peer.instance_id)
        link.send(LimitShares(self._answer(reporter, report.demands)))

    def _answer(self, reporter: InstanceId, demands: list[Demand]) -> list[Share]:
        shares = []
        for demand in demands:
            organisation = OrganisationId(demand.organisation)
            declared = self.catalog.organisations.get(organisation)
            if declared is None:
                continue
            view = self._view(declared.home_region)
            terms = LimitTerms(declared.requests_per_s, len(self.catalog.instances), view)
            reported = Reported(demand.demand_per_s, demand.held_per_s)
            share = self._owner.answer(organisation, reporter, reported, terms)
            self._metrics.limit_grants.labels(view.value).inc()
            shares.append(Share(organisation, round(share, 3)))
        return shares

    def _view(self, region: str) -> View:
        """Return how much of a region is seen; after a change its instances must report first."""
        live = frozenset(self._membership.live_in_region(region))
        seen = self._seen.get(region)
        if seen is None or seen.live != live:
            seen = self._seen[region] = _SeenRegion(live, now_ms())
        settled = now_ms() - seen.since_ms >= self._settle_ms
        whole = settled and self._membership.sees_whole_region(region)
        return View.WHOLE if whole else View.PARTIAL

    def take_shares(self, shares: LimitShares) -> None:
        """Enforce the shares that an owner gave."""
        for share in shares.shares:
            declared = self.catalog.organisations.get(OrganisationId(share.organisation))
            if declared is not None:
                self._enforcer.note_share(declared, share.share_per_s)
