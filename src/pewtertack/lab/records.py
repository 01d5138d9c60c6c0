"""The history of a run: JSON lines written by the nodes and by the lab.

A line with the key ``event`` comes from a node: one of ``pewtertack.events`` by
its name. A line with the key ``lab`` is one of the records below, named by its
tag. ``time`` is the wall clock of the one machine that a run uses, in seconds.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from enum import StrEnum
from typing import ClassVar

import msgspec

from pewtertack.errors import LabError


class HistoryFormatError(LabError):
    """A line of a history is neither a node's event nor a record of the lab."""

    code: ClassVar[str] = "history-format"


class CallOutcome(StrEnum):
    """What a caller was told, or what it can conclude, about its request."""

    ANSWERED = "answered"
    """The back end's answer arrived, whatever its status, without ``x-outcome``."""
    NOT_RUN = "not-run"
    """``x-outcome: not-run``: the back end never began the request."""
    UNKNOWN = "unknown"
    """``x-outcome: unknown``: the request may or may not have run."""
    NOT_CONNECTED = "not-connected"
    """No connection to the node: nothing was sent."""
    CUT = "cut"
    """The connection broke after the request was sent, or the answer was truncated."""
    TIMED_OUT = "timed-out"
    """The caller gave up waiting."""


class ExecutionResult(StrEnum):
    """How a back end's work on one request ended."""

    FINISHED = "finished"
    CANCELLED = "cancelled"
    DEADLINE = "deadline"
    DIED = "died"


class LabRecord(msgspec.Struct, frozen=True, kw_only=True, tag_field="lab"):
    """Base of the lab's own records."""

    time: float


class Edit(LabRecord, frozen=True, kw_only=True, tag="edit"):
    """The source took a tree. ``digest`` is in hex; ``valid`` is the checker's verdict."""

    revision: int
    digest: str
    valid: bool


class NodeStart(LabRecord, frozen=True, kw_only=True, tag="node-start"):
    """The lab started a node's process, the gateway of ``beside``, perhaps as a replacement."""

    node: str
    zone: str
    beside: str = ""


class NodeKill(LabRecord, frozen=True, kw_only=True, tag="node-kill"):
    """The lab killed a node (SIGKILL)."""

    node: str


class NodePause(LabRecord, frozen=True, kw_only=True, tag="node-pause"):
    """The lab paused a node (SIGSTOP)."""

    node: str


class NodeResume(LabRecord, frozen=True, kw_only=True, tag="node-resume"):
    """The lab let a paused node run on (SIGCONT)."""

    node: str


class NodeStop(LabRecord, frozen=True, kw_only=True, tag="node-stop"):
    """The lab asked a node to stop by plan (SIGTERM)."""

    node: str


class NodeReload(LabRecord, frozen=True, kw_only=True, tag="node-reload"):
    """The lab asked a node to read its settings again (SIGHUP)."""

    node: str


class NodeExit(LabRecord, frozen=True, kw_only=True, tag="node-exit"):
    """A node's process ended; ``code`` is negative for a signal."""

    node: str
    code: int


class Cut(LabRecord, frozen=True, kw_only=True, tag="cut"):
    """Nothing passes from ``from_zone`` to ``to_zone`` any more (one way)."""

    from_zone: str
    to_zone: str


class Heal(LabRecord, frozen=True, kw_only=True, tag="heal"):
    """All links between zones pass again."""


class SourceFault(LabRecord, frozen=True, kw_only=True, tag="source-fault"):
    """The source or the machine list (``service``) changed its behaviour."""

    service: str
    fault: str


class BackendLeaving(LabRecord, frozen=True, kw_only=True, tag="backend-leaving"):
    """A back end began to leave: it says so in its answers and the list will show it."""

    backend: str


class ZoneEvacuated(LabRecord, frozen=True, kw_only=True, tag="zone-evacuated"):
    """From ``revision`` on, the back ends of a zone are to be sent nothing."""

    zone: str
    backends: tuple[str, ...]
    revision: int


class ZoneEvacuationEnded(LabRecord, frozen=True, kw_only=True, tag="zone-taken-back"):
    """From ``revision`` on, the back ends of the zone may be sent requests again."""

    zone: str
    revision: int


class BackendFault(LabRecord, frozen=True, kw_only=True, tag="backend-fault"):
    """A back end was made to misbehave; ``backend`` is its name."""

    backend: str
    fault: str


class BackendLeaveCancelled(LabRecord, frozen=True, kw_only=True, tag="backend-return"):
    """A back end that was leaving stays after all: it may get new work."""

    backend: str


class ExecutionStart(LabRecord, frozen=True, kw_only=True, tag="execution-start"):
    """A back end began to work on a request."""

    request_id: str
    backend: str


class ExecutionEnd(LabRecord, frozen=True, kw_only=True, tag="execution-end"):
    """A back end's work on a request ended. Missing when the back end was killed."""

    request_id: str
    backend: str
    result: ExecutionResult = ExecutionResult.FINISHED


class CallResult(LabRecord, frozen=True, kw_only=True, tag="told"):
    """What a caller was told. ``time`` is the end of the exchange.

    ``status`` is 0 without an answer. ``checksum_ok`` says that the whole body
    arrived with the checksum which the back end gave, ``own_answer`` that it is
    the body which belongs to ``request_id``; both are true for refusals.
    ``latency`` and ``retry_after`` are in seconds.
    """

    request_id: str
    node: str
    route: str
    status: int
    outcome: CallOutcome
    checksum_ok: bool
    own_answer: bool
    repeatable: bool
    latency: float
    retry_after: float | None = None
    whole_for: float | None = None
    """For how long the whole request had been sent when the exchange ended, less the delays
    of the caller's own process; None when it was not sent whole, or this was not measured."""
    begun_for: float | None = None
    """Seconds since its first byte was handed to the system when the exchange ended; None when
    nothing of it was sent, or this was not measured."""
    broken_off_after: int | None = None
    """Bytes of the body that had come of an answer that broke off; None for all others."""


Record = (
    Edit
    | NodeStart
    | NodeKill
    | NodePause
    | NodeResume
    | NodeStop
    | NodeReload
    | NodeExit
    | Cut
    | Heal
    | SourceFault
    | BackendLeaving
    | BackendLeaveCancelled
    | BackendFault
    | ZoneEvacuated
    | ZoneEvacuationEnded
    | ExecutionStart
    | ExecutionEnd
    | CallResult
)


class NodeEvent(msgspec.Struct, frozen=True, kw_only=True):
    """Any numbered event of a node; fields beyond these depend on the event."""

    time: float
    number: int
    event: str
    node: str
    incarnation: int


class RouteInForce(msgspec.Struct, frozen=True, kw_only=True):
    """What one route in force needs."""

    service: str
    secrets: tuple[str, ...] = ()


class RevisionInForce(NodeEvent, frozen=True, kw_only=True):
    """REVISION_IN_FORCE: the revision, its digest in hex, and what the node serves by."""

    revision: int
    digest: str
    routes: dict[str, RouteInForce]
    services: tuple[str, ...]
    secrets: tuple[str, ...]


HistoryLine = Record | NodeEvent

IN_FORCE_EVENT = "REVISION_IN_FORCE"


class _Kind(msgspec.Struct):
    """The keys that tell whose line it is."""

    event: str | None = None
    lab: str | None = None


_kind_decoder = msgspec.json.Decoder(_Kind)
_record_decoder: msgspec.json.Decoder[Record] = msgspec.json.Decoder(Record)
_event_decoder = msgspec.json.Decoder(NodeEvent)
_in_force_decoder = msgspec.json.Decoder(RevisionInForce)


def decode_line(line: bytes | str) -> HistoryLine:
    """Read one line of a history.

    Raises:
        HistoryFormatError: the line is no JSON object of the documented shapes.
    """
    try:
        kind = _kind_decoder.decode(line)
        if kind.lab is not None:
            return _record_decoder.decode(line)
        if kind.event == IN_FORCE_EVENT:
            return _in_force_decoder.decode(line)
        return _event_decoder.decode(line)
    except msgspec.MsgspecError as error:
        raise HistoryFormatError(f"{error}: {line!r}") from error


def encode_record(record: Record) -> bytes:
    """Return ``record`` as one JSON line without the line feed."""
    return msgspec.json.encode(record)


def read_history(lines: Iterable[bytes | str]) -> Iterator[HistoryLine]:
    """Read all lines but empty ones.

    Raises:
        HistoryFormatError: see `decode_line`.
    """
    return (decode_line(line) for line in lines if line.strip())
