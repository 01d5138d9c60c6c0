"""HTTP application of one simulated back end, which logs every execution by request id."""

from __future__ import annotations

import random
import time
from collections.abc import Callable

import anyio

from pewtertack.lab.asgi import (
    Receive,
    Request,
    Response,
    Scope,
    Send,
    json_response,
    read_head,
    send_head,
    send_response,
)
from pewtertack.lab.backend.crossing import ResponseSwapper
from pewtertack.lab.backend.response_body import DEFAULT_BODY_BYTES, checksum, expected_body
from pewtertack.lab.backend.state import BackendState
from pewtertack.lab.records import ExecutionEnd, ExecutionResult, ExecutionStart, Record

HEALTH_PATH = "/health"
CHUNK_BYTES = 65536
NO_DEADLINE = float("inf")


CRASH_PATH_MARKER = "ends-back-ends"
"""A request whose path contains this crashes the back end that runs it."""


class BackendEndedError(Exception):
    """The request has crashed the back end."""


class BrokenAnswerError(Exception):
    """Aborts a response midway: uvicorn closes the connection when it is raised."""


class BackendApplication:
    """One simulated back end.

    Args:
        name: its name in the machine list and the log.
        state: its limits and faults.
        record: called with each record of the execution log.
        seed: determines which requests are shed and which responses are aborted.
    """

    def __init__(
        self, name: str, state: BackendState, record: Callable[[Record], None], seed: int = 0
    ) -> None:
        self.name = name
        self.state = state
        self._record = record
        self._random = random.Random(f"{seed}:{name}")
        self.on_crash = _ignore_crash
        """Called when a request crashes the back end."""
        self._slots = anyio.Semaphore(state.capacity.slots)
        self._swapper = ResponseSwapper()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one request."""
        if scope["type"] != "http":
            return
        request = read_head(scope)
        if request.path == HEALTH_PATH:
            await send_response(send, self._build_health_response())
            return
        if not self.state.admits(self._random.random()):
            await send_response(send, self._build_shed_response(request))
            return
        self.state.admitted += 1
        try:
            await self._run_in_slot(request, receive, send)
        finally:
            self.state.admitted -= 1

    async def _run_in_slot(self, request: Request, receive: Receive, send: Send) -> None:
        """Run the request once a slot is free; shed it if its deadline expires before."""
        deadline = _parse_deadline(request)
        if not await self._acquire_slot(deadline):
            await send_response(send, self._build_shed_response(request))
            return
        try:
            await self._execute(request, receive, send, deadline)
        finally:
            self._slots.release()

    async def _acquire_slot(self, deadline: float) -> bool:
        with anyio.move_on_after(deadline - time.monotonic()):
            await self._slots.acquire()
            return True
        return False

    async def _execute(
        self, request: Request, receive: Receive, send: Send, deadline: float
    ) -> None:
        request_id = request.headers.get("x-request-id", "")
        self._record(ExecutionStart(time=time.time(), request_id=request_id, backend=self.name))
        self.state.in_flight += 1
        result = ExecutionResult.CANCELLED
        try:
            result = await self._run_request(request, receive, send, deadline)
        except (BrokenAnswerError, BackendEndedError):
            result = ExecutionResult.DIED
            raise
        finally:
            self.state.in_flight -= 1
            self._record(
                ExecutionEnd(
                    time=time.time(), request_id=request_id, backend=self.name, result=result
                )
            )

    async def _run_request(
        self, request: Request, receive: Receive, send: Send, deadline: float
    ) -> ExecutionResult:
        if not await _read_body(receive):
            return ExecutionResult.CANCELLED
        seconds = self.state.work_time(_parse_work_seconds(request), time.monotonic())
        remaining = deadline - time.monotonic()
        if not await _wait_while_connected(receive, min(seconds, remaining)):
            return ExecutionResult.CANCELLED
        if seconds > remaining:
            await send_response(send, self._build_response(request, 504, b""))
            return ExecutionResult.DEADLINE
        if CRASH_PATH_MARKER in request.path:
            self.on_crash()
            raise BackendEndedError
        return await self._send_result(request, send)

    async def _send_result(self, request: Request, send: Send) -> ExecutionResult:
        size = int(request.headers.get("x-answer-bytes", DEFAULT_BODY_BYTES))
        body = expected_body(request.headers.get("x-request-id", ""), size)
        response = self._build_response(request, 200, body)
        faults = self.state.faults
        if faults.crossed:
            response = await self._swapper.swap(response)
        if faults.late:
            await anyio.sleep(faults.late)
        abort_midway = self._random.random() < faults.die_mid_answer_share
        return await _send_in_chunks(send, response, abort_midway)

    def _build_response(self, request: Request, status: int, body: bytes) -> Response:
        headers = {
            "content-type": "text/plain",
            "x-request-id": request.headers.get("x-request-id", ""),
            "x-checksum": checksum(body),
            "x-backend": self.name,
            **self._state_headers(),
        }
        return Response(status, body, headers)

    def _state_headers(self) -> dict[str, str]:
        headers = {"x-backend-load": self.state.reported_load(), **self.state.reports.headers()}
        if self.state.faults.leaving:
            headers["x-backend-state"] = "leaving"
        return headers

    def _build_shed_response(self, request: Request) -> Response:
        headers = {"x-outcome": "not-run", "retry-after": "1", **self._state_headers()}
        if self.state.faults.identified_refusals:
            headers["x-request-id"] = request.headers.get("x-request-id", "")
        return Response(503, b"", headers)

    def _build_health_response(self) -> Response:
        healthy = self.state.is_reported_healthy(time.monotonic())
        load = self.state.reported_load()
        return json_response({"well": healthy, "load": load}, 200 if healthy else 503)


def _ignore_crash() -> None:
    """Default crash handler: the back end keeps its listener and serves on."""


def _parse_deadline(request: Request) -> float:
    """Return the deadline in monotonic seconds, infinity without one."""
    milliseconds = request.headers.get("x-deadline-ms")
    if milliseconds is None:
        return NO_DEADLINE
    return time.monotonic() + float(milliseconds) / 1000


def _parse_work_seconds(request: Request) -> float | None:
    milliseconds = request.headers.get("x-work-ms")
    return None if milliseconds is None else float(milliseconds) / 1000


async def _read_body(receive: Receive) -> bool:
    """Read the body of the request; return false if the caller disconnected."""
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return False
        if not message.get("more_body", False):
            return True


async def _wait_while_connected(receive: Receive, seconds: float) -> bool:
    """Wait for ``seconds``; return false as soon as the caller disconnects."""
    with anyio.move_on_after(seconds):
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                return False
    return True


async def _send_in_chunks(send: Send, response: Response, abort_midway: bool) -> ExecutionResult:
    """Send the response.

    Raises:
        BrokenAnswerError: ``abort_midway`` is set; half of the body has been sent.
    """
    length = len(response.body)
    await send_head(send, response.status, {**response.headers, "content-length": str(length)})
    sent_bytes = length // 2 if abort_midway else length
    for start in range(0, sent_bytes, CHUNK_BYTES):
        chunk = response.body[start : min(start + CHUNK_BYTES, sent_bytes)]
        await send({"type": "http.response.body", "body": chunk, "more_body": True})
    if abort_midway:
        raise BrokenAnswerError
    await send({"type": "http.response.body", "body": b""})
    return ExecutionResult.FINISHED
