"""The history of a run: JSON lines written by the nodes and by the lab.

A line with the key ``event`` comes from a node; its value is the name of an event in
``pewtertack.events``. A line with the key ``lab`` is one of the records below; its value
is the record's tag. ``time`` is Unix time in seconds. All processes of a run share one
machine and thus one clock.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from enum import StrEnum
from typing import ClassVar

import msgspec

from pewtertack.errors import LabError


class HistoryFormatError(LabError):
    """A line of a history is neither a node event nor a lab record."""

    code: ClassVar[str] = "history-format"


class CallOutcome(StrEnum):
    """The outcome of a request as its caller sees it."""

    ANSWERED = "answered"
    """The back end's response arrived, with any status and without ``x-outcome``."""
    NOT_RUN = "not-run"
    """``x-outcome: not-run``: no back end started to execute the request."""
    UNKNOWN = "unknown"
    """``x-outcome: unknown``: the request may or may not have been executed."""
    NOT_CONNECTED = "not-connected"
    """No connection to the node could be made; nothing was sent."""
    CUT = "cut"
    """The connection broke after the request was sent, or the response was truncated."""
    TIMED_OUT = "timed-out"
    """The caller's timeout expired."""


class ExecutionResult(StrEnum):
    """How a back end's execution of one request ended."""

    FINISHED = "finished"
    CANCELLED = "cancelled"
    DEADLINE = "deadline"
    DIED = "died"


class LabRecord(msgspec.Struct, frozen=True, kw_only=True, tag_field="lab"):
    """Base class of the records that the lab itself writes."""

    time: float


class Edit(LabRecord, frozen=True, kw_only=True, tag="edit"):
    """The source accepted a write of a tree.

    ``digest`` is in hexadecimal; ``valid`` tells whether the tree passes validation.
    """

    revision: int
    digest: str
    valid: bool


class NodeStart(LabRecord, frozen=True, kw_only=True, tag="node-start"):
    """The lab started a node's process, possibly as a replacement.

    ``beside`` names the local back end, whose gateway the node is.
    """

    node: str
    zone: str
    beside: str = ""


class NodeKill(LabRecord, frozen=True, kw_only=True, tag="node-kill"):
    """The lab sent SIGKILL to a node."""

    node: str


class NodePause(LabRecord, frozen=True, kw_only=True, tag="node-pause"):
    """The lab paused a node with SIGSTOP."""

    node: str


class NodeResume(LabRecord, frozen=True, kw_only=True, tag="node-resume"):
    """The lab resumed a paused node with SIGCONT."""

    node: str


class NodeStop(LabRecord, frozen=True, kw_only=True, tag="node-stop"):
    """The lab requested a node's graceful shutdown with SIGTERM."""

    node: str


class NodeReload(LabRecord, frozen=True, kw_only=True, tag="node-reload"):
    """The lab made a node reload its settings with SIGHUP."""

    node: str


class NodeExit(LabRecord, frozen=True, kw_only=True, tag="node-exit"):
    """A node's process exited; a negative ``code`` is the number of the signal that ended it."""

    node: str
    code: int


class Cut(LabRecord, frozen=True, kw_only=True, tag="cut"):
    """Messages from ``from_zone`` to ``to_zone`` are dropped from now on (one direction)."""

    from_zone: str
    to_zone: str


class Heal(LabRecord, frozen=True, kw_only=True, tag="heal"):
    """All links between zones deliver messages again."""


class SourceFault(LabRecord, frozen=True, kw_only=True, tag="source-fault"):
    """A fault of ``service``, the source or the machine list service, began or ended."""

    service: str
    fault: str


class BackendLeaving(LabRecord, frozen=True, kw_only=True, tag="backend-leaving"):
    """A back end started to leave.

    It announces this in its responses, and the machine list will show it.
    """

    backend: str


class BackendRateLimit(LabRecord, frozen=True, kw_only=True, tag="backend-rate-limit"):
    """A back end names a limit of ``rate`` requests a second in its answers; ``None``: no more."""

    backend: str
    rate: float | None


class BackendLeavingInAnswers(LabRecord, frozen=True, kw_only=True, tag="backend-leaving-answers"):
    """A back end started to say in its answers, and nowhere else, that it leaves.

    A ``BackendLeaveCancelled`` ends that.
    """

    backend: str


class ZoneEvacuated(LabRecord, frozen=True, kw_only=True, tag="zone-evacuated"):
    """From ``revision`` on, no requests may be sent to the back ends of a zone."""

    zone: str
    backends: tuple[str, ...]
    revision: int


class ZoneEvacuationEnded(LabRecord, frozen=True, kw_only=True, tag="zone-taken-back"):
    """From ``revision`` on, requests may be sent to the back ends of the zone again."""

    zone: str
    revision: int


class BackendFault(LabRecord, frozen=True, kw_only=True, tag="backend-fault"):
    """The lab injected a fault into the back end called ``backend``."""

    backend: str
    fault: str


class BackendLeaveCancelled(LabRecord, frozen=True, kw_only=True, tag="backend-return"):
    """A leaving back end stays after all; it may receive new requests."""

    backend: str


class ExecutionStart(LabRecord, frozen=True, kw_only=True, tag="execution-start"):
    """A back end started to execute a request."""

    request_id: str
    backend: str


class ExecutionEnd(LabRecord, frozen=True, kw_only=True, tag="execution-end"):
    """A back end's execution of a request ended. Missing if the back end was killed."""

    request_id: str
    backend: str
    result: ExecutionResult = ExecutionResult.FINISHED


class CallResult(LabRecord, frozen=True, kw_only=True, tag="told"):
    """The result of one call from its caller's view; ``time`` is the end of the exchange.

    ``status`` is 0 if no response arrived. ``checksum_ok`` tells whether the body matches
    the checksum that the back end sent, ``own_answer`` whether it is the body expected for
    ``request_id``; both are true for refusals. ``latency`` and ``retry_after`` are in seconds.
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
    """Seconds from the request's last byte sent to the end of the exchange, less the delays of
    the caller's own process; None if it was not sent completely, or this was not measured."""
    begun_for: float | None = None
    """Seconds from the request's first byte passed to the operating system to the end of the
    exchange; None if nothing of it was sent, or this was not measured."""
    broken_off_after: int | None = None
    """Body bytes received of a response that broke off; None for all others."""


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
    | BackendRateLimit
    | BackendLeavingInAnswers
    | ZoneEvacuated
    | ZoneEvacuationEnded
    | ExecutionStart
    | ExecutionEnd
    | CallResult
)


class NodeEvent(msgspec.Struct, frozen=True, kw_only=True):
    """Any numbered event of a node; its other fields depend on the event."""

    time: float
    number: int
    event: str
    node: str
    incarnation: int


class RouteInForce(msgspec.Struct, frozen=True, kw_only=True):
    """The service and the secrets that one route in force refers to."""

    service: str
    secrets: tuple[str, ...] = ()


class RevisionInForce(NodeEvent, frozen=True, kw_only=True):
    """REVISION_IN_FORCE: the revision, its hexadecimal digest, and its content on the node."""

    revision: int
    digest: str
    routes: dict[str, RouteInForce]
    services: tuple[str, ...]
    secrets: tuple[str, ...]


HistoryLine = Record | NodeEvent

IN_FORCE_EVENT = "REVISION_IN_FORCE"


class _LineKind(msgspec.Struct):
    """The keys that distinguish node events from lab records."""

    event: str | None = None
    lab: str | None = None


_kind_decoder = msgspec.json.Decoder(_LineKind)
_record_decoder: msgspec.json.Decoder[Record] = msgspec.json.Decoder(Record)
_event_decoder = msgspec.json.Decoder(NodeEvent)
_in_force_decoder = msgspec.json.Decoder(RevisionInForce)


def decode_line(line: bytes | str) -> HistoryLine:
    """Decode one line of a history.

    Raises:
        HistoryFormatError: the line is neither a node event nor a lab record.
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
    """Decode the lines lazily, skipping empty ones.

    Raises:
        HistoryFormatError: a line is invalid; see `decode_line`.
    """
    return (decode_line(line) for line in lines if line.strip())
