"""The caller of the request cost measurement: a separate process with blocking sockets.

It makes its calls one after the other. Each call therefore wakes the measured process as often as
a call to a lightly loaded node does.
"""

from __future__ import annotations

import socket
import time
from collections.abc import Callable
from enum import StrEnum

import msgspec

from pewtertack.errors import LabError
from pewtertack.lab.hop.caller import READ_SIZE_BYTES, TIMEOUT_SECONDS, is_complete_message
from pewtertack.lab.hop.targets import HOLD_PATH, PIECES_PATH
from pewtertack.lab.serving import print_line
from pewtertack.node.gateway import hop
from pewtertack.settings import Address

WARM_UP_CALLS = 200
MEASURED_PATH = "/measured"
SEPARATION_SECONDS = 0.003
"""Delay between opening a connection, the request and closing, where each call has a connection of
its own. Without it, it would be chance whether the measured process handles two of these events in
one iteration of its event loop."""
REQUEST_BODY = b"b" * 1024
HELD_REQUEST_COUNT = 6
"""One request occupies the back end's only slot; the others queue behind it, enough of them that
the gateway refuses any further request."""


class CallKind(StrEnum):
    """Kind of a measured call, by the work that it causes on the nodes."""

    SERVED = "served hop"
    SERVED_PIECES = "served hop, answer in two pieces"
    SERVED_BODY = "served hop, body of 1 KB"
    SERVED_NEW_CONNECTIONS = "served hop, both onward connections new"
    NEW_CALLER_CONNECTION = "served hop, caller's connection new"
    REFUSED = "refused hop"
    PROBE = "probe of a gateway"


class CallPlan(msgspec.Struct, frozen=True):
    """The calls to make. ``rate`` is in calls per second; 0 makes them without pauses."""

    kind: CallKind
    proxy: str
    gateway: str
    calls: int
    rate: float = 0.0


class CallStep(msgspec.Struct, frozen=True):
    """Sent to the measuring process when the measured calls begin and when they have ended."""

    running: bool


class UnexpectedAnswerError(LabError):
    """A call received a response with a status that its kind does not expect."""

    code = "unexpected-answer"


EXPECTED_STATUS_LINES = {CallKind.REFUSED: b"HTTP/1.1 503", CallKind.PROBE: b"HTTP/1.1 204"}


class _Caller:
    """Makes calls on one connection, or on a new connection for each call."""

    def __init__(self, address: Address, request: bytes, kind: CallKind) -> None:
        self.address = address
        self.request = request
        self.expected_status_line = EXPECTED_STATUS_LINES.get(kind, b"HTTP/1.1 200")
        self.keeps_connection = kind not in (CallKind.NEW_CALLER_CONNECTION, CallKind.PROBE)
        self.connection: socket.socket | None = None

    def call(self) -> None:
        if self.connection is None:
            self.connection = _connect(self.address)
            time.sleep(SEPARATION_SECONDS)
        self.connection.sendall(self.request)
        received = self.connection.recv(READ_SIZE_BYTES)
        while received and not is_complete_message(received):
            received += self.connection.recv(READ_SIZE_BYTES)
        if not received.startswith(self.expected_status_line):
            raise UnexpectedAnswerError(received[:400].decode("latin-1"))
        if not self.keeps_connection:
            self.connection.close()
            self.connection = None
            time.sleep(SEPARATION_SECONDS)


def make_calls(plan: CallPlan) -> None:
    """Warm up, make the planned calls, and report when they begin and end."""
    held_connections = _hold_requests(plan.gateway) if plan.kind is CallKind.REFUSED else []
    caller = _caller_of(plan)
    _repeat(caller.call, WARM_UP_CALLS, plan.rate)
    _report_step(CallStep(running=True))
    _repeat(caller.call, plan.calls, plan.rate)
    _report_step(CallStep(running=False))
    for connection in held_connections:
        connection.close()


def _repeat(call: Callable[[], None], count: int, rate: float) -> None:
    started_at = time.perf_counter()
    for index in range(count):
        if rate:
            time.sleep(max(0.0, started_at + index / rate - time.perf_counter()))
        call()


def _report_step(step: CallStep) -> None:
    print_line(msgspec.json.encode(step))


def _caller_of(plan: CallPlan) -> _Caller:
    if plan.kind is CallKind.PROBE:
        request = _encode_request(b"GET", [(hop.PROBE, b"1")])
        return _Caller(_address(plan.gateway), request, plan.kind)
    common = [(b"accept", b"*/*"), (b"user-agent", b"caller/1"), (b"x-deadline-ms", b"2000")]
    if plan.kind is CallKind.SERVED_BODY:
        length = (b"content-length", b"%d" % len(REQUEST_BODY))
        request = _encode_request(b"POST", [*common, length]) + REQUEST_BODY
    else:
        path = PIECES_PATH if plan.kind is CallKind.SERVED_PIECES else MEASURED_PATH
        request = _encode_request(b"GET", common, path)
    return _Caller(_address(plan.proxy), request, plan.kind)


def _encode_request(
    method: bytes, headers: list[tuple[bytes, bytes]], path: str = MEASURED_PATH
) -> bytes:
    lines = [b"%s %s HTTP/1.1" % (method, path.encode()), b"host: measured.example"]
    lines += [name + b": " + value for name, value in headers]
    return b"\r\n".join([*lines, b"", b""])


def _hold_requests(gateway: str) -> list[socket.socket]:
    """Send requests that stay at the back end and in the gateway's queue.

    Returns their connections.
    """
    request = b"\r\n".join(
        [
            b"GET %s HTTP/1.1" % HOLD_PATH.encode(),
            b"host: measured.example",
            b"x-request-id: held",
            b"x-deadline-ms: 3000000",
            hop.BACKEND + b": b0",
            hop.SERVICE + b": measured",
            hop.ROUTE + b": held",
            hop.RANK + b": 0.0",
            hop.OBJECTIVE + b": 300000",
            hop.WAIT_POLICY + b": allowed",
            hop.CALLER_SERVICE + b": ",
            b"",
            b"",
        ]
    )
    held_connections = [_connect(_address(gateway)) for _ in range(HELD_REQUEST_COUNT)]
    for connection in held_connections:
        connection.sendall(request)
    time.sleep(0.2)
    return held_connections


def _connect(address: Address) -> socket.socket:
    connection = socket.create_connection((address.host, address.port), TIMEOUT_SECONDS)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return connection


def _address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return Address(host, int(port))
