"""The caller of a measurement of requests: a process of its own, on blocking sockets.

It makes its calls one after the other, so that every one wakes the measured process as often
as one of a lightly loaded node does.
"""

from __future__ import annotations

import socket
import time
from collections.abc import Callable
from enum import StrEnum

import msgspec

from pewtertack.errors import LabError
from pewtertack.lab.hop.caller import READ_BYTES, TIMEOUT, is_whole
from pewtertack.lab.hop.targets import HOLD_PATH, PIECES_PATH
from pewtertack.lab.serving import print_line
from pewtertack.node.gateway import hop
from pewtertack.settings import Address

WARM_UP_CALLS = 200
PATH = "/measured"
APART_SECONDS = 0.003
"""Between connection, request and the connection's end, where each call has one of its own: else
it would be chance whether the measured process sees to two of them in one round."""
BODY = b"b" * 1024
HELD_CALLS = 6
"""One at the back end's only slot and enough behind it that no further one is worth waiting."""


class CallKind(StrEnum):
    """What one call makes the measured nodes do."""

    SERVED = "served hop"
    SERVED_PIECES = "served hop, answer in two pieces"
    SERVED_BODY = "served hop, body of 1 KB"
    SERVED_NEW_CONNECTIONS = "served hop, both onward connections new"
    NEW_CALLER_CONNECTION = "served hop, caller's connection new"
    REFUSED = "refused hop"
    PROBE = "probe of a gateway"


class CallPlan(msgspec.Struct, frozen=True):
    """One run of calls. ``rate`` in calls per second, 0 for one after the other."""

    kind: CallKind
    proxy: str
    gateway: str
    calls: int
    rate: float = 0.0


class CallStep(msgspec.Struct, frozen=True):
    """What the caller tells the measuring process: the measured calls begin, or have ended."""

    running: bool


class UnexpectedAnswerError(LabError):
    """A call was not answered as its kind should be."""

    code = "unexpected-answer"


EXPECTED = {CallKind.REFUSED: b"HTTP/1.1 503", CallKind.PROBE: b"HTTP/1.1 204"}


class _Caller:
    """Makes calls on one connection, or on a new one each."""

    def __init__(self, address: Address, request: bytes, kind: CallKind) -> None:
        self.address = address
        self.request = request
        self.expected = EXPECTED.get(kind, b"HTTP/1.1 200")
        self.kept = kind not in (CallKind.NEW_CALLER_CONNECTION, CallKind.PROBE)
        self.connection: socket.socket | None = None

    def call(self) -> None:
        if self.connection is None:
            self.connection = _connect(self.address)
            time.sleep(APART_SECONDS)
        self.connection.sendall(self.request)
        received = self.connection.recv(READ_BYTES)
        while received and not is_whole(received):
            received += self.connection.recv(READ_BYTES)
        if not received.startswith(self.expected):
            raise UnexpectedAnswerError(received[:400].decode("latin-1"))
        if not self.kept:
            self.connection.close()
            self.connection = None
            time.sleep(APART_SECONDS)


def make_calls(plan: CallPlan) -> None:
    """Warm up, make the planned calls, and tell when they begin and end."""
    held = _hold_slots(plan.gateway) if plan.kind is CallKind.REFUSED else []
    caller = _caller_of(plan)
    _repeat(caller.call, WARM_UP_CALLS, plan.rate)
    _tell(CallStep(running=True))
    _repeat(caller.call, plan.calls, plan.rate)
    _tell(CallStep(running=False))
    for connection in held:
        connection.close()


def _repeat(call: Callable[[], None], times: int, rate: float) -> None:
    began = time.perf_counter()
    for turn in range(times):
        if rate:
            time.sleep(max(0.0, began + turn / rate - time.perf_counter()))
        call()


def _tell(step: CallStep) -> None:
    print_line(msgspec.json.encode(step))


def _caller_of(plan: CallPlan) -> _Caller:
    if plan.kind is CallKind.PROBE:
        request = _request(b"GET", [(hop.PROBE, b"1")])
        return _Caller(_address(plan.gateway), request, plan.kind)
    common = [(b"accept", b"*/*"), (b"user-agent", b"caller/1"), (b"x-deadline-ms", b"2000")]
    if plan.kind is CallKind.SERVED_BODY:
        length = (b"content-length", b"%d" % len(BODY))
        request = _request(b"POST", [*common, length]) + BODY
    else:
        path = PIECES_PATH if plan.kind is CallKind.SERVED_PIECES else PATH
        request = _request(b"GET", common, path)
    return _Caller(_address(plan.proxy), request, plan.kind)


def _request(method: bytes, headers: list[tuple[bytes, bytes]], path: str = PATH) -> bytes:
    lines = [b"%s %s HTTP/1.1" % (method, path.encode()), b"host: measured.example"]
    lines += [name + b": " + value for name, value in headers]
    return b"\r\n".join([*lines, b"", b""])


def _hold_slots(gateway: str) -> list[socket.socket]:
    """Have requests stay at the back end and in the gateway's queue."""
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
    held = [_connect(_address(gateway)) for _ in range(HELD_CALLS)]
    for connection in held:
        connection.sendall(request)
    time.sleep(0.2)
    return held


def _connect(address: Address) -> socket.socket:
    connection = socket.create_connection((address.host, address.port), TIMEOUT)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return connection


def _address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return Address(host, int(port))
