"""A dry run of one request's route."""

from typing import Any

from result import Err, Ok, Result

from sparline._clock import now_ms
from sparline._ids import OrganisationId, RegionName, RequestId, TargetName
from sparline.declarations import Catalog
from sparline.requests import UNKNOWN_LENGTH, Origin, Request, RequestBody, TargetKind
from sparline.routing import (
    CandidateFinder,
    Candidates,
    Decision,
    Policy,
    Refuse,
    RelayToZone,
    RunLocally,
    WaitLocally,
    classify_length,
)


class Explainer:
    """Tell where a request would go, and why each other candidate was passed over."""

    def __init__(self, finder: CandidateFinder, policy: Policy, region: str) -> None:
        """Use the finder and the policy that real requests use."""
        self.catalog = Catalog()  # replaced when the files change
        self._finder = finder
        self._policy = policy
        self._region = RegionName(region)

    def explain(self, query: dict[str, str]) -> Result[dict[str, Any], str]:
        """Return the candidates and the decision for a made-up request."""
        read = self._read(query)
        if read.is_err():
            return Err(read.unwrap_err())
        request = read.unwrap()
        candidates = self._finder.find(request)
        decision = self._policy.decide(request, candidates)
        return Ok({"decision": _describe(decision), "candidates": _list(candidates, decision)})

    def _read(self, query: dict[str, str]) -> Result[Request, str]:
        organisation = self.catalog.organisations.get(OrganisationId(query.get("organisation", "")))
        if organisation is None:
            return Err(
                f"organisation: expected one in force, found {query.get('organisation', '')!r}"
            )
        target = TargetName(query.get("target", ""))
        model, service = self.catalog.models.get(target), self.catalog.services.get(target)
        if model is None and service is None:
            return Err(f"target: expected a model or service in force, found {str(target)!r}")
        numbers = {}
        for name, default in (
            ("prompt_tokens", 100),
            ("output_tokens", 100),
            ("deadline_ms", 30_000),
        ):
            text = query.get(name, str(default))
            if not text.isascii() or not text.isdigit():
                return Err(f"{name}: expected a whole number, found {text!r}")
            numbers[name] = int(text)
        prompt_tokens = numbers["prompt_tokens"] if model else 0
        return Ok(
            Request(
                request_id=RequestId("explain"),
                organisation=OrganisationId(organisation.id),
                residency_rule=organisation.residency_rule,
                target=target,
                kind=TargetKind.ENGINE if model else TargetKind.SERVICE,
                adapter=query.get("adapter", ""),
                prompt_tokens=prompt_tokens,
                output_tokens=numbers["output_tokens"] if model else 0,
                prefix_keys=(),
                length=classify_length(prompt_tokens, model.short_prompt_tokens if model else 0),
                deadline_at_ms=now_ms() + numbers["deadline_ms"],
                priority=5,
                repeatable=query.get("not_repeatable", "0") != "1",
                method="POST",
                path="/",
                content_type="",
                body=RequestBody(lambda _size: b"", UNKNOWN_LENGTH),
                origin=Origin.CALLER,
                from_region=self._region,
                still_wanted=lambda: True,
            )
        )


def _describe(decision: Decision) -> dict[str, Any]:
    match decision:
        case RunLocally(candidate):
            return {"do": "run_here", "at": candidate.estimate.backend.member.id}
        case RelayToZone(candidate):
            return {"do": "send_away", "at": candidate.zone, "through": candidate.instance_id}
        case WaitLocally(ttft_ms):
            return {"do": "wait_here", "ttft_ms": round(ttft_ms, 1)}
        case Refuse(reason, retry_after_ms):
            return {"do": "refuse", "reason": reason.value, "retry_after_ms": int(retry_after_ms)}
    raise AssertionError("a decision of unknown kind")


def _list(candidates: Candidates, decision: Decision) -> list[dict[str, Any]]:
    chosen = getattr(decision, "candidate", None)
    rows = [
        {
            "at": one.estimate.backend.member.id,
            "place": "here",
            "ttft_ms": round(one.estimate.ttft_ms, 1),
            "total_ms": round(one.estimate.total_ms, 1),
            "cost": one.cost,
            "passed_over": "" if one is chosen else _why(one.verdict.value),
        }
        for one in candidates.local
    ]
    return rows + [
        {
            "at": one.zone,
            "place": one.region,
            "ttft_ms": round(one.ttft_ms, 1),
            "total_ms": round(one.total_ms, 1),
            "cost": one.cost,
            "passed_over": "" if one is chosen else _why(one.verdict.value),
        }
        for one in candidates.remote
    ]


def _why(verdict: str) -> str:
    return "another_is_better" if verdict == "usable" else verdict
