"""Answers to peers that fetch store copies, the configuration or run times from this instance."""

import math
from collections.abc import Callable

import msgspec

from sparline._cbor import pack
from sparline.fleet import FleetState, StoreCopyTable
from sparline.gateway._own_answers import OwnAnswers
from sparline.gateway._run_times import RunTimeTable
from sparline.http import CallerConnection, HttpRequest
from sparline.requests import Reason
from sparline.schema._gossip import RunTimeNote, RunTimes, StoreCopy, StoreItemNote

CBOR_HEADERS = [(b"Content-Type", b"application/cbor")]
# Request target under which peers fetch store copies, without the revision.
STORE_COPY_TARGET = b"/sparline/store-copy?after="
# Longest revision of the store (digits).
MAX_REVISION_DIGITS = 20
# Request target under which peers fetch the configuration in force.
CONFIGURATION_TARGET = b"/sparline/configuration"
# Request target under which a leaving instance fetches how long requests took here.
RUN_TIMES_TARGET = b"/sparline/run-times"


class PeerAnswers:
    """Answer peers from the state of this instance."""

    def __init__(
        self,
        fleet: FleetState,
        copy: StoreCopyTable,
        own_answers: OwnAnswers,
        run_times: RunTimeTable,
        store_outage_age_ms: Callable[[], float],
    ) -> None:
        """Answer for one instance.

        `store_outage_age_ms` returns the time since the store's last outage ended.
        """
        self._fleet = fleet
        self._copy = copy
        self._own_answers = own_answers
        self._run_times = run_times
        self._store_outage_age_ms = store_outage_age_ms

    def answer(self, caller: CallerConnection, http: HttpRequest) -> bool:
        """Answer a request of a peer; return False without an answer if its target is another one."""
        if http.target.startswith(STORE_COPY_TARGET):
            self._answer_store_copy(caller, http)
            return True
        if http.target == CONFIGURATION_TARGET:
            self._answer_configuration(caller)
            return True
        if http.target == RUN_TIMES_TARGET:
            self._answer_run_times(caller)
            return True
        return False

    def _answer_store_copy(self, caller: CallerConnection, http: HttpRequest) -> None:
        after = http.target.removeprefix(STORE_COPY_TARGET)
        if not after.isdigit() or len(after) > MAX_REVISION_DIGITS:
            text = f"expected a revision, found {after[:MAX_REVISION_DIGITS]!r}"
            self._own_answers.reject(caller, "", 400, Reason.BAD_REQUEST, text)
            return
        outage_age_ms = self._store_outage_age_ms()
        copy = msgspec.structs.replace(
            self._copy.since(int(after)),
            disturbed_ago_ms=round(outage_age_ms) if math.isfinite(outage_age_ms) else None,
        )
        caller.answer(200, CBOR_HEADERS, pack(copy))

    def _answer_configuration(self, caller: CallerConnection) -> None:
        """Answer with the configuration in force, which the store may have lost."""
        change = self._fleet.configuration_change
        notes = [StoreItemNote(change.key, change.revision, change.value)] if change else []
        position = self._copy.position
        copy = StoreCopy(position.revision, False, notes, era=position.era)
        caller.answer(200, CBOR_HEADERS, pack(copy))

    def _answer_run_times(self, caller: CallerConnection) -> None:
        notes = [
            RunTimeNote(
                key.route,
                key.service,
                key.is_first_event,
                one.times,
                math.ceil(one.longest_ms),
                math.floor(one.oldest_ms),
            )
            for key, one in self._run_times.own_times().items()
        ]
        caller.answer(200, CBOR_HEADERS, pack(RunTimes(notes)))
