"""Exchange of demand reports and shares with the owners of limits."""

from collections import defaultdict
from dataclasses import dataclass

from sparline._clock import now_ms
from sparline._ids import InstanceId, OrganisationId
from sparline._metrics import Metrics
from sparline.declarations import Catalog
from sparline.limits._enforcer import LimitEnforcer
from sparline.limits._owner import DemandReport, LimitOwner, LimitTerms, RegionView
from sparline.peers import Membership, Mesh, PeerLink, highest_ranked
from sparline.schema._messages import Demand, LimitReport, LimitShares, Share


@dataclass(frozen=True, slots=True)
class _LiveInstances:
    """Record the live instances of a region."""

    live: frozenset[InstanceId]
    changed_at_ms: float  # when the set last changed


class LimitExchange:
    """Report this instance's demand and answer reports from other instances.

    The owner of a limit is chosen by rendezvous hashing among the live instances of the
    organisation's home region. A report contains only organisations that are active on
    this instance, so its size depends on local traffic, not on the size of the fleet.
    """

    def __init__(
        self,
        enforcer: LimitEnforcer,
        membership: Membership,
        mesh: Mesh,
        metrics: Metrics,
        settle_ms: float,
    ) -> None:
        """Start without owned limits.

        `settle_ms` is how long the live instances of a region must stay unchanged before its view
        counts as whole.
        """
        self.catalog = Catalog()  # replaced when the declaration files change
        self._enforcer = enforcer
        self._membership = membership
        self._mesh = mesh
        self._metrics = metrics
        self._owner = LimitOwner()
        self._settle_ms = settle_ms
        self._live_by_region: dict[str, _LiveInstances] = {}

    def report(self) -> None:
        """Report demand to the owner of each active organisation's limit."""
        for region in self.catalog.regions():
            self._region_view(region)
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
        declaration = self.catalog.organisations.get(organisation)
        if declaration is None:
            return None
        return highest_ranked(
            f"limit/{organisation}", self._membership.live_in_region(declaration.home_region)
        )

    def take_report(self, link: PeerLink, report: LimitReport) -> None:
        """Answer a report from another instance."""
        reporter = InstanceId(link.peer.instance_id)
        link.send(LimitShares(self._answer(reporter, report.demands)))

    def _answer(self, reporter: InstanceId, demands: list[Demand]) -> list[Share]:
        shares = []
        for demand in demands:
            organisation = OrganisationId(demand.organisation)
            declaration = self.catalog.organisations.get(organisation)
            if declaration is None:
                continue
            view = self._region_view(declaration.home_region)
            terms = LimitTerms(declaration.requests_per_s, len(self.catalog.instances), view)
            reported = DemandReport(demand.demand_per_s, demand.held_per_s)
            share = self._owner.answer(organisation, reporter, reported, terms)
            self._metrics.limit_grants.labels(view.value).inc()
            shares.append(Share(organisation, round(share, 3)))
        return shares

    def _region_view(self, region: str) -> RegionView:
        """Return how much of a region this instance can see.

        After a change of the live instances, the view stays partial until all of them have had
        time to report.
        """
        live = frozenset(self._membership.live_in_region(region))
        known = self._live_by_region.get(region)
        if known is None or known.live != live:
            known = self._live_by_region[region] = _LiveInstances(live, now_ms())
        is_settled = now_ms() - known.changed_at_ms >= self._settle_ms
        is_whole = is_settled and self._membership.sees_whole_region(region)
        return RegionView.WHOLE if is_whole else RegionView.PARTIAL

    def take_shares(self, shares: LimitShares) -> None:
        """Enforce the shares granted by an owner."""
        for share in shares.shares:
            declaration = self.catalog.organisations.get(OrganisationId(share.organisation))
            if declaration is not None:
                self._enforcer.note_share(declaration, share.share_per_s)
