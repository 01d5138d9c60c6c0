"""Answers whose bodies are sent at a rate, or never end."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

import anyio

from pewtertack.lab.asgi import (
    Handler,
    HandlerTable,
    Receive,
    Response,
    Send,
    send_head,
    send_response,
)

SLICE_SECONDS = 0.02
"""A body that is sent at a rate leaves in pieces of so many seconds, or byte by byte."""
ENDLESS_PIECE = b" " * 4096
ENDLESS_PIECE_SECONDS = 0.01
"""Between two pieces of an endless body that is sent at no rate."""


@dataclass(frozen=True, slots=True)
class Pacing:
    """How bodies are sent."""

    rate: float = 0.0
    """Bytes a second; 0 sends a body at once."""
    endless: bool = False
    """White space follows the body without end."""


class PacedHandlerTable(HandlerTable):
    """A table of handlers whose answers are sent as ``pacing`` says at the time."""

    def __init__(
        self, handlers: Mapping[tuple[str, str], Handler], pacing: Callable[[], Pacing]
    ) -> None:
        super().__init__(handlers)
        self._pacing = pacing

    async def _deliver(self, answer: Response, receive: Receive, send: Send) -> None:
        pacing = self._pacing()
        if pacing == Pacing():
            await send_response(send, answer)
            return
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_cancel_when_left, receive, tasks.cancel_scope)
            await _send_paced(send, answer, pacing)
            tasks.cancel_scope.cancel()


async def _cancel_when_left(receive: Receive, scope: anyio.CancelScope) -> None:
    """Cancel ``scope`` when the caller hangs up."""
    while (await receive())["type"] != "http.disconnect":
        pass
    scope.cancel()


async def _send_paced(send: Send, answer: Response, pacing: Pacing) -> None:
    length = {} if pacing.endless else {"content-length": str(len(answer.body))}
    await send_head(send, answer.status, {**answer.headers, **length})
    await _send_pieces(send, answer.body, pacing.rate)
    while pacing.endless:
        await _send_pieces(send, ENDLESS_PIECE, pacing.rate)
        await anyio.sleep(ENDLESS_PIECE_SECONDS)
    await send({"type": "http.response.body", "body": b""})


async def _send_pieces(send: Send, body: bytes, rate: float) -> None:
    size = max(1, round(rate * SLICE_SECONDS)) if rate else max(1, len(body))
    for start in range(0, len(body), size):
        piece = body[start : start + size]
        if rate:
            await anyio.sleep(len(piece) / rate)
        await send({"type": "http.response.body", "body": piece, "more_body": True})
