"""Processor time of a fleet by activity, from the ``NODE_PARTS`` records in its nodes' logs.

Nodes log these records if ``log.parts_every`` is set (``pewtertack.node.part_times``). Each record
covers the time since the start of its process, so only the last one of a process is used. What a
killed process did after its last record is unknown. A record may follow other text on its line,
for example where several logs are printed together.
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

EVENT_MARK = f'"event":"{Event.NODE_PARTS.name}"'
RECORD_START = '{"time":'
OTHER_PREFIX = "other: "
"""Prefix of a callback's name that is not assigned to any part."""
SERVED_HOP = "served hop"
UNSERVED_HOP = "hop that is refused or fails"
ALL_HOPS = "hop"
MILLISECONDS_PER_SECOND = 1000.0
MIN_SHOWN_SHARE = 0.001
"""Smallest fraction of the total time at which an unassigned callback is shown."""

CALLBACKS_BY_PART: dict[str, tuple[str, ...]] = {
    START: (START,),
    ALL_HOPS: (
        "RequestCycle.run",
        "RequestCycle._write_head",
        "StreamTransport._read",
        "StreamTransport._send_more",
        "BackendConnection._send_head",
        "SlotWait._recheck",
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
"""Names of callbacks and functions by part, as ``part_times`` records them."""

COUNTERS_BY_PART = {
    START: (START,),
    SERVED_HOP: (f"{EVENT_PREFIX}GATEWAY_ANSWERED",),
    UNSERVED_HOP: tuple(
        f"{EVENT_PREFIX}GATEWAY_{outcome}" for outcome in ("REFUSED", "FAILED", "CANCELLED")
    ),
    "connection": ("StreamTransport.__init__",),
    "version": ("ProxyApplication.use_configuration",),
    "list change": ("ProxyApplication.use_machines",),
    "peer message": ("PeerTransport.send",),
    "log line": ("EventLog.record",),
    "probe": ("GatewayProber._probe",),
}
"""Counters whose sum is the number of times a part ran; connections count at both ends."""


_decoder = json.JSONDecoder()


class ProcessPartTimes(msgspec.Struct, frozen=True):
    """One record: processor seconds and counts of a process up to that time, by name."""

    node: str
    incarnation: int
    seconds: dict[str, float]
    counts: dict[str, int]


class PartShare(msgspec.Struct, frozen=True):
    """Processor time of one part over all processes; ``count`` is 0 if the part has no counter."""

    part: str
    seconds: float
    count: int = 0


def read_part_times(lines: Iterable[str]) -> tuple[list[ProcessPartTimes], int]:
    """Return the last record of each process, and the number of truncated records.

    The last record of a killed process may be truncated.

    Raises:
        LabUsageError: the lines contain no complete record.
    """
    last_records: dict[tuple[str, int], ProcessPartTimes] = {}
    truncated = 0
    for line in lines:
        for match in re.finditer(EVENT_MARK, line):
            record = _decode_record(line, match.start())
            if record is None:
                truncated += 1
            else:
                last_records[record.node, record.incarnation] = record
    if not last_records:
        raise LabUsageError(
            "found no complete NODE_PARTS record; set parts_every in section [log] of the settings"
        )
    return list(last_records.values()), truncated


def _decode_record(line: str, position: int) -> ProcessPartTimes | None:
    """Return the record around ``position``, or ``None`` if it is truncated.

    Other records may precede and follow a truncated one on the same line.
    """
    try:
        record, _ = _decoder.raw_decode(line, line.rindex(RECORD_START, 0, position))
        return msgspec.convert(record, ProcessPartTimes)
    except (ValueError, msgspec.ValidationError):
        return None


def part_shares(records: Iterable[ProcessPartTimes]) -> list[PartShare]:
    """Return the time of each part, in descending order.

    The time of hops is divided between served and unserved ones in proportion to their numbers.
    """
    seconds: defaultdict[str, float] = defaultdict(float)
    counts: Counter[str] = Counter()
    for item in records:
        for name, value in item.seconds.items():
            if name != POLL:
                seconds[_part_of_callback(name)] += value
        counts.update(item.counts)
    runs = {part: sum(counts[name] for name in names) for part, names in COUNTERS_BY_PART.items()}
    hops, hop_seconds = runs[SERVED_HOP] + runs[UNSERVED_HOP], seconds.pop(ALL_HOPS, 0.0)
    for part in (SERVED_HOP, UNSERVED_HOP):
        seconds[part] = hop_seconds * runs[part] / hops if hops else hop_seconds / 2
    shares = [PartShare(part, value, runs.get(part, 0)) for part, value in seconds.items()]
    return sorted(shares, key=lambda item: -item.seconds)


def _part_of_callback(name: str) -> str:
    for part, names in CALLBACKS_BY_PART.items():
        if any(name == item or name.endswith(f".{item}") for item in names):
            return part
    return OTHER_PREFIX + name


def format_part_shares(shares: list[PartShare]) -> str:
    """Return the shares as a table."""
    total_seconds = sum(item.seconds for item in shares) or 1.0
    rows = [
        (
            item.part,
            f"{item.seconds:.2f}",
            f"{item.seconds / total_seconds:.1%}",
            item.count or "",
            f"{item.seconds / item.count * MILLISECONDS_PER_SECOND:.3f}" if item.count else "",
        )
        for item in shares
        if not item.part.startswith(OTHER_PREFIX) or item.seconds >= MIN_SHOWN_SHARE * total_seconds
    ]
    return format_table(("part", "seconds", "share", "times", "ms each"), rows)
