"""Forwarders of a gateway instance: one for requests of callers, one for those that peers relay."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from sparline._ids import SoftwareVersion
from sparline.forwarding import (
    AttemptDependencies,
    CrashTables,
    Forwarder,
    ForwarderDependencies,
    OwnAnswer,
    Progress,
)
from sparline.gateway._components import GatewayComponents
from sparline.gateway._resumed_streams import ResumedStreams
from sparline.http import Headers, HttpAnswer
from sparline.placement import Placement, WatchTables
from sparline.platform import (
    InstanceWire,
    ServerWire,
    answer_headers,
    refusal_headers,
    relayed_answer_headers,
    relayed_refusal_headers,
)
from sparline.requests import RoutedRequest, is_withdrawn


@dataclass(frozen=True, slots=True)
class AnswerHeaders:
    """Hold what makes the headers of answers to one kind of client."""

    own: Callable[[OwnAnswer], Headers]  # of answers made here
    # Of streams, with the software version that they come from, None if that is unknown.
    stream: Callable[[HttpAnswer, SoftwareVersion | None], Headers]


FOR_CALLERS = AnswerHeaders(refusal_headers, answer_headers)
FOR_PEERS = AnswerHeaders(relayed_refusal_headers, relayed_answer_headers)


def make_forwarder(components: GatewayComponents, headers: AnswerHeaders) -> Forwarder:
    """Create a forwarder on the components of an instance."""
    return Forwarder(
        ForwarderDependencies(
            chooser=components.chooser,
            rng=random.Random(),
            loads=components.loads,
            retries=components.retries,
            attempt_dependencies=_attempt_dependencies(components, headers),
            note_retry=components.request_log.note_retry,
            note_retry_refused=components.request_log.note_retry_refused,
            note_broken=components.request_log.note_broken,
            crashes=CrashTables(
                components.crashes, components.crashing_parts, components.end_detector
            ),
            is_key_withdrawn=lambda request: is_withdrawn(
                components.fleet.configuration, request.caller
            ),
            refusal_headers=headers.own,
            find_version=ResumedStreams(components.fleet, components.stream_versions).find_version,
        )
    )


def _attempt_dependencies(
    components: GatewayComponents, headers: AnswerHeaders
) -> AttemptDependencies:
    return AttemptDependencies(
        pool=components.pool,
        backend_wire=ServerWire(),
        peer_wire=InstanceWire(),
        peer_port=components.relay_port,
        buffered_answer_bytes=components.settings.buffered_answer_bytes,
        held=components.service.held,
        health=components.health,
        server_limits=components.server_limits,
        refusal_limits=components.refusal_limits,
        note_leaving=components.fleet.note_leaving,
        pace=components.pace,
        watch=WatchTables(
            components.pace,
            components.gaps,
            components.loads,
            components.pause_watch.process_resumed_at_ms,
        ),
        note_peer=components.peers.note_reachability,
        note_way_failure=components.connectivity.note_failure,
        note_round_trip=components.peers.note_round_trip,
        ends=components.end_detector,
        note_dropped_answers=components.metrics.dropped_answers.inc,
        has_ended=components.ended_starts.__contains__,
        note_first=partial(_note_first, components),
        note_stream_version=components.stream_versions.note_begun,
        answer_headers=headers.stream,
        note_unframed_end=components.request_log.note_unframed_end,
    )


def _note_first(
    components: GatewayComponents,
    request: RoutedRequest,
    placement: Placement,
    progress: Progress,
) -> None:
    components.service.in_flight.note_first(request)
    components.admission.note_first(request, placement, progress)
