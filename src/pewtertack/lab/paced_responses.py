"""Responses whose bodies are sent at a limited rate or never end."""

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

CHUNK_SECONDS = 0.02
"""The time between two chunks of a rate-limited body; a chunk has at least one byte."""
PADDING_CHUNK = b" " * 4096
PADDING_INTERVAL_SECONDS = 0.01
"""The pause after each padding chunk of an endless body."""


@dataclass(frozen=True, slots=True)
class Pacing:
    """How response bodies are sent."""

    rate: float = 0.0
    """Bytes per second; 0 sends the body at once."""
    endless: bool = False
    """Whether the body is followed by an endless sequence of spaces."""


class PacedHandlerTable(HandlerTable):
    """A handler table that paces the bodies of its responses.

    Args:
        handlers: the handlers by method and path.
        pacing: called once for each response.
    """

    def __init__(
        self, handlers: Mapping[tuple[str, str], Handler], pacing: Callable[[], Pacing]
    ) -> None:
        super().__init__(handlers)
        self._pacing = pacing

    async def _send_response(self, response: Response, receive: Receive, send: Send) -> None:
        pacing = self._pacing()
        if pacing == Pacing():
            await send_response(send, response)
            return
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_cancel_on_disconnect, receive, tasks.cancel_scope)
            await _send_paced(send, response, pacing)
            tasks.cancel_scope.cancel()


async def _cancel_on_disconnect(receive: Receive, scope: anyio.CancelScope) -> None:
    """Cancel ``scope`` when the client disconnects."""
    while (await receive())["type"] != "http.disconnect":
        pass
    scope.cancel()


async def _send_paced(send: Send, response: Response, pacing: Pacing) -> None:
    length = {} if pacing.endless else {"content-length": str(len(response.body))}
    await send_head(send, response.status, {**response.headers, **length})
    await _send_chunks(send, response.body, pacing.rate)
    while pacing.endless:
        await _send_chunks(send, PADDING_CHUNK, pacing.rate)
        await anyio.sleep(PADDING_INTERVAL_SECONDS)
    await send({"type": "http.response.body", "body": b""})


async def _send_chunks(send: Send, body: bytes, rate: float) -> None:
    chunk_bytes = max(1, round(rate * CHUNK_SECONDS)) if rate else max(1, len(body))
    for start in range(0, len(body), chunk_bytes):
        chunk = body[start : start + chunk_bytes]
        if rate:
            await anyio.sleep(len(chunk) / rate)
        await send({"type": "http.response.body", "body": chunk, "more_body": True})
