"""The HTTP application of one back end. It logs each execution by request id."""

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
from pewtertack.lab.backend.response_body import DEFAULT_BODY_BYTES, checksum, expected_body
from pewtertack.lab.backend.response_swap import ResponseSwapper
from pewtertack.lab.backend.state import BackendState
from pewtertack.lab.records import ExecutionEnd, ExecutionResult, ExecutionStart, Record

HEALTH_PATH = "/health"
CHUNK_BYTES = 65536
NO_DEADLINE = float("inf")


CRASH_PATH_MARKER = "ends-back-ends"
"""A request whose path holds this ends the back end that has run it."""


class BackendEndedError(Exception):
    """The back end has ended under the request."""


class BrokenAnswerError(Exception):
    """Ends an answer in the middle; uvicorn closes the connection on it."""


class BackendApplication:
    """One back end.

    Args:
        name: its name in the machine list and the log.
        state: limits and faults.
        record: takes each line of the execution log.
        seed: decides on shedding and broken answers.
    """

    def __init__(
        self, name: str, state: BackendState, record: Callable[[Record], None], seed: int = 0
    ) -> None:
        self.name = name
        self.state = state
        self._record = record
        self._random = random.Random(f"{seed}:{name}")
        self.end = _go_on
        """Called when a request ends the back end."""
        self._slots = anyio.Semaphore(state.capacity.slots)
        self._exchange = ResponseSwapper()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        if scope["type"] != "http":
            return
        request = read_head(scope)
        if request.path == HEALTH_PATH:
            await send_response(send, self._health())
            return
        if not self.state.admits(self._random.random()):
            await send_response(send, self._shed())
            return
        self.state.admitted += 1
        try:
            await self._run_in_slot(request, receive, send)
        finally:
            self.state.admitted -= 1

    async def _run_in_slot(self, request: Request, receive: Receive, send: Send) -> None:
        """Run the request once a slot is free; shed it when its deadline comes first."""
        deadline = _deadline(request)
        if not await self._take_slot(deadline):
            await send_response(send, self._shed())
            return
        try:
            await self._execute(request, receive, send, deadline)
        finally:
            self._slots.release()

    async def _take_slot(self, deadline: float) -> bool:
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
            result = await self._work(request, receive, send, deadline)
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

    async def _work(
        self, request: Request, receive: Receive, send: Send, deadline: float
    ) -> ExecutionResult:
        if not await _read_to_end(receive):
            return ExecutionResult.CANCELLED
        seconds = self.state.work_time(_work_seconds(request), time.monotonic())
        left = deadline - time.monotonic()
        if not await _stays_connected(receive, min(seconds, left)):
            return ExecutionResult.CANCELLED
        if seconds > left:
            await send_response(send, self._answer(request, 504, b""))
            return ExecutionResult.DEADLINE
        if CRASH_PATH_MARKER in request.path:
            self.end()
            raise BackendEndedError
        return await self._send_result(request, receive, send)

    async def _send_result(self, request: Request, receive: Receive, send: Send) -> ExecutionResult:
        size = int(request.headers.get("x-answer-bytes", DEFAULT_BODY_BYTES))
        body = expected_body(request.headers.get("x-request-id", ""), size)
        answer = self._answer(request, 200, body)
        faults = self.state.faults
        if faults.crossed:
            answer = await self._exchange.exchange(answer)
        if faults.late:
            await anyio.sleep(faults.late)
        breaks = self._random.random() < faults.die_mid_answer_share
        return await _send_in_chunks(send, answer, breaks)

    def _answer(self, request: Request, status: int, body: bytes) -> Response:
        headers = {
            "content-type": "text/plain",
            "x-request-id": request.headers.get("x-request-id", ""),
            "x-checksum": checksum(body),
            "x-backend": self.name,
            **self._state_headers(),
        }
        return Response(status, body, headers)

    def _state_headers(self) -> dict[str, str]:
        headers = {"x-backend-load": self.state.reported_load()}
        if self.state.faults.leaving:
            headers["x-backend-state"] = "leaving"
        return headers

    def _shed(self) -> Response:
        headers = {"x-outcome": "not-run", "retry-after": "1", **self._state_headers()}
        return Response(503, b"", headers)

    def _health(self) -> Response:
        well = self.state.is_reported_well(time.monotonic())
        load = self.state.reported_load()
        return json_response({"well": well, "load": load}, 200 if well else 503)


def _go_on() -> None:
    """Serve on: nothing sees to the back end's end."""


def _deadline(request: Request) -> float:
    """Return the deadline on the monotonic clock; infinity without one."""
    milliseconds = request.headers.get("x-deadline-ms")
    if milliseconds is None:
        return NO_DEADLINE
    return time.monotonic() + float(milliseconds) / 1000


def _work_seconds(request: Request) -> float | None:
    milliseconds = request.headers.get("x-work-ms")
    return None if milliseconds is None else float(milliseconds) / 1000


async def _read_to_end(receive: Receive) -> bool:
    """Read the request's body; false when the caller hung up."""
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return False
        if not message.get("more_body", False):
            return True


async def _stays_connected(receive: Receive, seconds: float) -> bool:
    """Wait for ``seconds``; false at once when the caller hangs up."""
    with anyio.move_on_after(seconds):
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                return False
    return True


async def _send_in_chunks(send: Send, answer: Response, breaks: bool) -> ExecutionResult:
    """Send the answer.

    Raises:
        BrokenAnswerError: ``breaks`` is set; half of the body has been sent.
    """
    length = len(answer.body)
    await send_head(send, answer.status, {**answer.headers, "content-length": str(length)})
    sent_bytes = length // 2 if breaks else length
    for start in range(0, sent_bytes, CHUNK_BYTES):
        chunk = answer.body[start : min(start + CHUNK_BYTES, sent_bytes)]
        await send({"type": "http.response.body", "body": chunk, "more_body": True})
    if breaks:
        raise BrokenAnswerError
    await send({"type": "http.response.body", "body": b""})
    return ExecutionResult.FINISHED
