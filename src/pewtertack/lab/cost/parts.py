"""What a fleet's processor time was spent for, from the ``NODE_PARTS`` lines of its nodes' logs.

Nodes write such lines where ``log.parts_every`` asks for it (``pewtertack.node.part_times``). Each
tells all since its process began, so the last of a process counts; what a killed one did after it
is not known. Lines may stand behind other text, as where several logs are printed together.
"""

from __future__ import annotations

import json
import re
from collections import Counter, defaultdict
from collections.abc import Iterable

import msgspec

from pewtertack.events import Event
from pewtertack.lab.errors import LabUsageError
from pewtertack.lab.report.table import format_table
from pewtertack.node.part_times import EVENT_PREFIX, LOOP, POLL, START

MARK = f'"event":"{Event.NODE_PARTS.name}"'
BEGINNING = '{"time":'
OTHER = "other: "
"""Before the name of what belongs to no part."""
SERVED = "served hop"
UNSERVED = "hop that is refused or fails"
HOP = "hop"
MILLISECONDS = 1000.0
LEAST_SHARE = 0.001
"""What belongs to no part is shown from this share of the whole on."""

PARTS: dict[str, tuple[str, ...]] = {
    START: (START,),
    HOP: (
        "RequestCycle.run",
        "RequestCycle._write_head",
        "StreamTransport._read",
        "StreamTransport._send_more",
        "BackendConnection._send_head",
        "GatewayForwarding._look_again",
        "BodyReception.receive",
        "ResponseSender._send_buffered",
        "Deadlines._expire_due",
        "HangChecks._check",
        "CrashDetector._settle",
        "AcknowledgementMonitor._check",
    ),
    "connection": (
        "StreamTransport.__init__",
        "StreamTransport._call_connection_lost",
        "HttpServer._accept",
        "ConnectionPool._close_expired",
        "_settle",
    ),
    "version": (
        "ProxyApplication.use_configuration",
        "GatewayApplication.use_configuration",
        "Runtime.feed DeltaAnswer",
        "Runtime.feed DocumentRead",
        "Runtime.feed JoinAnswer",
        "Runtime.feed PackedAnswer",
        "Runtime.feed ReaderHeartbeat with news",
        "Runtime.feed WorkContinued",
        "Runtime._continue_work",
        "Runtime._read",
    ),
    "list change": ("ProxyApplication.use_machines", "GatewayApplication.use_machines"),
    "peer message": (
        "PeerTransport.send",
        "PeerTransport._receive_datagrams",
        "AsyncIOBackend.wait_readable.<locals>.cb",
        "PeerTransport._receive_stream",
        "PeerTransport._send_stream",
        "Runtime.feed Acknowledge",
        "Runtime.feed Announce",
        "Runtime.feed Busy",
        "Runtime.feed FrameArriving",
        "Runtime.feed IndirectAcknowledge",
        "Runtime.feed JoinRequest",
        "Runtime.feed Ping",
        "Runtime.feed PingRequest",
        "Runtime.feed Pull",
        "Runtime.feed ReaderHeartbeat",
    ),
    "log line": ("EventLog.record", "BoundedWriter._flush"),
    "probe": ("GatewayProber.run", "GatewayProber._probe"),
    "idle second": (
        "GatewayApplication.run",
        "ProxyApplication.run",
        "Runtime.run",
        "Runtime.feed Ticked",
        "_set_result_unless_cancelled",
    ),
    "rounds of the loop": (LOOP,),
}
"""Names of callbacks and functions by part."""

COUNTED_BY = {
    START: (START,),
    SERVED: (f"{EVENT_PREFIX}GATEWAY_ANSWERED",),
    UNSERVED: tuple(f"{EVENT_PREFIX}GATEWAY_{end}" for end in ("REFUSED", "FAILED", "CANCELLED")),
    "connection": ("StreamTransport.__init__",),
    "version": ("ProxyApplication.use_configuration",),
    "list change": ("ProxyApplication.use_machines",),
    "peer message": ("PeerTransport.send",),
    "log line": ("EventLog.record",),
    "probe": ("GatewayProber._probe",),
}
"""What tells how often a part was done; connections are counted at both ends."""


_decoder = json.JSONDecoder()


class NodeParts(msgspec.Struct, frozen=True):
    """One line: what a process did until then."""

    node: str
    incarnation: int
    seconds: dict[str, float]
    counts: dict[str, int]


class PartShare(msgspec.Struct, frozen=True):
    """One part over all processes. ``times`` is 0 where it isn't counted."""

    part: str
    seconds: float
    times: int = 0


def read_part_times(lines: Iterable[str]) -> tuple[list[NodeParts], int]:
    """Return the last line of each process, and how many were cut: a killed one's end mid-line.

    Raises:
        LabUsageError: there is none.
    """
    last: dict[tuple[str, int], NodeParts] = {}
    cut = 0
    for line in lines:
        for mark in re.finditer(MARK, line):
            parts = _read(line, mark.start())
            if parts is None:
                cut += 1
            else:
                last[parts.node, parts.incarnation] = parts
    if not last:
        raise LabUsageError("no line tells the parts; settings: [log] parts_every")
    return list(last.values()), cut


def _read(line: str, mark: int) -> NodeParts | None:
    """Return what the record around ``mark`` tells; others stand before and behind a cut one."""
    try:
        told, _ = _decoder.raw_decode(line, line.rindex(BEGINNING, 0, mark))
        return msgspec.convert(told, NodeParts)
    except (ValueError, msgspec.ValidationError):
        return None


def part_shares(told: Iterable[NodeParts]) -> list[PartShare]:
    """Return the parts, the largest first; a hop's time is divided evenly by the hops' ends."""
    seconds: defaultdict[str, float] = defaultdict(float)
    counts: Counter[str] = Counter()
    for item in told:
        for name, value in item.seconds.items():
            if name != POLL:
                seconds[_part_of(name)] += value
        counts.update(item.counts)
    times = {part: sum(counts[name] for name in names) for part, names in COUNTED_BY.items()}
    hops, taken = times[SERVED] + times[UNSERVED], seconds.pop(HOP, 0.0)
    for part in (SERVED, UNSERVED):
        seconds[part] = taken * times[part] / hops if hops else taken / 2
    shares = [PartShare(part, value, times.get(part, 0)) for part, value in seconds.items()]
    return sorted(shares, key=lambda item: -item.seconds)


def _part_of(name: str) -> str:
    for part, names in PARTS.items():
        if any(name == item or name.endswith(f".{item}") for item in names):
            return part
    return OTHER + name


def format_part_shares(shares: list[PartShare]) -> str:
    """Return the parts as a table."""
    whole = sum(item.seconds for item in shares) or 1.0
    rows = [
        (
            item.part,
            f"{item.seconds:.2f}",
            f"{item.seconds / whole:.1%}",
            item.times or "",
            f"{item.seconds / item.times * MILLISECONDS:.3f}" if item.times else "",
        )
        for item in shares
        if not item.part.startswith(OTHER) or item.seconds >= LEAST_SHARE * whole
    ]
    return format_table(("part", "seconds", "share", "times", "ms each"), rows)
