"""Evidence that a backend server exited while it ran a request whose answer broke off.

Guards against load on broken ways: callers repeat a request while a proxy, or a supervisor that
holds the port of an exited server, accepts each connection and resets it. Each reset then looked
like another exit under that request, although no server had received it, and three of them shut the
request out for two minutes. The rules:

- Only a refused connection says by itself that no process listens. One that is accepted and reset
  says nothing of the process behind it.
- Other connections witness an exit only if the server has answered on them since its last known
  exit, so that they are known to lead to its process.
- A server that was not known to run when the request was sent may have exited before. The store may
  still show that it has exited, but all exits of this kind count as one for a request.
- A server that has exited under a request can't exit again before it was heard from.
"""

from dataclasses import dataclass
from enum import Enum

from sparline._ids import BackendServerId

# Counted for exits of servers that were not known to run when the request was sent, whatever the
# server, so that they make up at most one of the exits that put a request in quarantine.
UNPROVEN_EXIT = BackendServerId("unproven-exit")


class ProbeResult(Enum):
    """Classify the result of a connection attempt."""

    OPEN = "open"  # a process is listening
    REFUSED = "refused"  # the machine responds, but no process is listening
    RESET = "reset"  # accepted and reset at once, by whatever holds the port
    UNKNOWN = "unknown"  # no response


class EndEvidence(Enum):
    """Name the evidence that a server has exited."""

    REFUSED = "refused"  # no process is listening at its address
    GONE = "gone"  # its store entry was removed, and it sent nothing after the interrupted answer
    WITNESSED = "witnessed"  # it lost all connections at once


class ProcessState(Enum):
    """Classify what is known of a server process whose connection has ended."""

    EXITED = "exited"
    RUNNING = "running"
    UNKNOWN = "unknown"


class Liveness(Enum):
    """Tell whether a server was known to run when a request was sent to it."""

    PROVEN = "proven"  # it had answered on the request's connection or on one beside it
    UNPROVEN = "unproven"  # it may have exited before


@dataclass(frozen=True, slots=True)
class InterruptionFacts:
    """Hold what is known of a server when its answer has broken off."""

    probe: ProbeResult = ProbeResult.UNKNOWN  # result of a connection attempt after that
    is_replaced: bool = False  # whether the store shows a later start of the server
    was_closed: bool = True  # whether the other side closed or reset the request's connection
    was_received: bool = True  # whether the other side acknowledged all bytes of the request
    # Whether the server has answered on the request's connection since its last known exit.
    has_answered: bool = False
    # Whether it has answered on any of these connections since the attempt began.
    has_answered_lately: bool = False
    # Of each other connection that has witnessed the server since its last known exit, whether the
    # other side has closed it.
    witnesses_closed: tuple[bool, ...] = ()


def liveness(facts: InterruptionFacts) -> Liveness:
    """Tell whether the server was known to run when the request was sent.

    The connections to a suspended process, or beyond a cut, stay open whenever it last answered. If
    the request's connection was not closed, only an answer in the course of the attempt counts.
    """
    is_proven = facts.has_answered_lately
    if facts.was_closed or facts.is_replaced:
        is_proven = is_proven or facts.has_answered or bool(facts.witnesses_closed)
    return Liveness.PROVEN if is_proven else Liveness.UNPROVEN


def exit_evidence(facts: InterruptionFacts) -> EndEvidence | None:
    """Return the evidence that the server has exited, None if there is none yet."""
    if facts.is_replaced:
        return EndEvidence.GONE
    if facts.probe is ProbeResult.REFUSED:
        return EndEvidence.REFUSED
    if facts.was_closed and facts.witnesses_closed and all(facts.witnesses_closed):
        return EndEvidence.WITNESSED
    return None


def process_state(facts: InterruptionFacts) -> ProcessState:
    """Tell whether a server process runs on after one of its connections has ended."""
    if exit_evidence(facts) is not None:
        return ProcessState.EXITED
    if facts.probe is ProbeResult.OPEN or not all(facts.witnesses_closed):
        return ProcessState.RUNNING
    return ProcessState.UNKNOWN


def may_be_shown_later(facts: InterruptionFacts) -> bool:
    """Tell whether a later removal of the store entry shows an exit under the request.

    A request that no machine acknowledged, as in a cut of the network, did not run.
    """
    return exit_evidence(facts) is None and (facts.was_received or facts.was_closed)


def counted_exit(
    server_id: BackendServerId, evidence: EndEvidence, known: Liveness, earlier_exits: int = 0
) -> BackendServerId:
    """Return the id under which all instances count an exit.

    `earlier_exits` is the number of exits of this server known under the request when it was sent. A
    server that was heard from after them has been restarted under its id, for example by a
    supervisor, and its next exit is another one. The store gives a new start a new id.
    """
    is_proven = known is Liveness.PROVEN
    if evidence is EndEvidence.GONE:
        return server_id if is_proven else UNPROVEN_EXIT
    if not earlier_exits or not is_proven:
        return server_id
    return BackendServerId(f"{server_id}/{earlier_exits + 1}")
