"""An ASGI client for tests that calls an application in the same process."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import anyio

from pewtertack.lab.asgi import Application


@dataclass
class Reply:
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


async def call(
    application: Application,
    method: str,
    target: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    hang_up: anyio.Event | None = None,
) -> Reply:
    """Send one request and return the reply; setting ``hang_up`` disconnects the client."""
    path, _, query = target.partition("?")
    named = [(name.encode(), value.encode()) for name, value in (headers or {}).items()]
    scope: dict[str, Any] = {
        "type": "http",
        "method": method,
        "path": path,
        "query_string": query.encode(),
        "headers": named,
    }
    messages = [{"type": "http.request", "body": body, "more_body": False}]
    reply = Reply()

    async def receive() -> dict[str, Any]:
        if messages:
            return messages.pop()
        await (hang_up or anyio.Event()).wait()
        return {"type": "http.disconnect"}

    async def send(message: Any) -> None:
        if message["type"] == "http.response.start":
            reply.status = message["status"]
            reply.headers = {name.decode(): value.decode() for name, value in message["headers"]}
        else:
            reply.body += message.get("body", b"")

    await application(scope, receive, send)
    return reply
