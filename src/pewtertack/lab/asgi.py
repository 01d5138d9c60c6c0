"""A minimal ASGI layer for the lab's stand-in services: requests, responses and a handler table."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping, MutableMapping
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qsl

import msgspec

from pewtertack.lab.errors import LabUsageError, NumberConflictError

Scope = MutableMapping[str, Any]
Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
Application = Callable[[Scope, Receive, Send], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Request:
    """A request with its complete body; header names are in lower case."""

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class Response:
    """A response with its complete body."""

    status: int
    body: bytes = b""
    headers: Mapping[str, str] = field(default_factory=dict)


Handler = Callable[[Request], Awaitable[Response]]


def json_response(value: object, status: int = 200, **headers: str) -> Response:
    """Return a response with ``value`` as JSON; underscores in header names become hyphens."""
    encoded = msgspec.json.encode(value)
    named = {name.replace("_", "-"): text for name, text in headers.items()}
    return Response(status, encoded, {"content-type": "application/json", **named})


def read_head(scope: Scope) -> Request:
    """Return the request line and headers of ``scope``, without a body."""
    headers = {name.decode("latin-1"): value.decode("latin-1") for name, value in scope["headers"]}
    query = dict(parse_qsl(scope.get("query_string", b"").decode("latin-1")))
    return Request(scope["method"], scope["path"], query, headers)


async def read_body(receive: Receive) -> bytes:
    """Read the complete body, or what arrived of it before the client disconnected."""
    parts = []
    more = True
    while more:
        message = await receive()
        parts.append(message.get("body", b""))
        more = message["type"] == "http.request" and message.get("more_body", False)
    return b"".join(parts)


async def send_response(send: Send, response: Response) -> None:
    """Send ``response`` with a content length."""
    headers = {**response.headers, "content-length": str(len(response.body))}
    await send_head(send, response.status, headers)
    await send({"type": "http.response.body", "body": response.body})


async def send_head(send: Send, status: int, headers: Mapping[str, str]) -> None:
    """Send the status and the headers; the caller sends the body."""
    encoded = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in headers.items()]
    await send({"type": "http.response.start", "status": status, "headers": encoded})


class HandlerTable:
    """An ASGI application that selects a handler by method and path.

    A path that ends in a slash matches the paths one segment below it. Number conflicts are
    answered with status 409, invalid input with status 400.
    """

    def __init__(self, handlers: Mapping[tuple[str, str], Handler]) -> None:
        self._handlers = handlers

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one HTTP request; scopes of other types are ignored."""
        if scope["type"] != "http":
            return
        head = read_head(scope)
        body = await read_body(receive)
        request = Request(head.method, head.path, head.query, head.headers, body)
        await self._send_response(await self.answer(request), receive, send)

    async def _send_response(self, response: Response, receive: Receive, send: Send) -> None:  # noqa: ARG002 (interface)
        await send_response(send, response)

    async def answer(self, request: Request) -> Response:
        """Return the response to ``request``."""
        handler = self._find(request)
        if handler is None:
            return json_response({"error": "not-found"}, 404)
        try:
            return await handler(request)
        except NumberConflictError as error:
            return json_response({"error": error.code, "message": str(error)}, 409)
        except (LabUsageError, msgspec.MsgspecError) as error:
            return json_response({"error": "bad-request", "message": str(error)}, 400)

    def _find(self, request: Request) -> Handler | None:
        exact = self._handlers.get((request.method, request.path))
        if exact is not None:
            return exact
        parent = request.path.rpartition("/")[0] + "/"
        return self._handlers.get((request.method, parent))
