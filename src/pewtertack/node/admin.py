"""The admin interface: a read-only ASGI application for operators and their tools.

``/status``, ``/members`` and ``/config`` return JSON, ``/ready`` returns 200 or 503, and
``/metrics`` returns the Prometheus text format.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping, MutableMapping
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

import msgspec

from pewtertack.core.configuration.resolved import ResolvedConfiguration
from pewtertack.json_encoding import encode_json
from pewtertack.node.counting import MetricsRegistry

if TYPE_CHECKING:
    from pewtertack.node.exposition import Exposition
    from pewtertack.node.status import MemberView, NodeStatus

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]

JSON_TYPE = "application/json"
MASK = "***"


class Response(NamedTuple):
    """One HTTP response."""

    status: int
    content_type: str
    body: bytes


class StatusSource(Protocol):
    """State of the node that the admin interface reads."""

    def status(self) -> NodeStatus:
        """Return the node's current state."""

    def members(self) -> tuple[MemberView, ...]:
        """Return the peers that the node knows."""

    def in_force(self) -> ResolvedConfiguration | None:
        """Return the configuration that the proxy uses."""

    def is_ready(self) -> bool:
        """Return whether callers should be sent here."""


class AdminApplication:
    """ASGI 3 application over a ``StatusSource`` and a metrics registry."""

    def __init__(self, source: StatusSource, registry: MetricsRegistry) -> None:
        self._source = source
        self._registry = registry
        self._exposition: Exposition | None = None
        self._handlers: dict[str, Callable[[], Response]] = {
            "/status": self._status_page,
            "/members": self._members_page,
            "/config": self._config_page,
            "/ready": self._ready_page,
            "/metrics": self._metrics_page,
        }

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:  # noqa: ARG002 (interface)
        """Respond to one request."""
        response = self._respond(scope["method"], scope["path"])
        headers = [
            (b"content-type", response.content_type.encode()),
            (b"content-length", str(len(response.body)).encode()),
        ]
        await send({"type": "http.response.start", "status": response.status, "headers": headers})
        body = b"" if scope["method"] == "HEAD" else response.body
        await send({"type": "http.response.body", "body": body})

    def _respond(self, method: str, path: str) -> Response:
        handler = self._handlers.get(path)
        if handler is None:
            return _json_response(
                {"type": "no-such-page", "pages": sorted(self._handlers)}, status=404
            )
        if method not in ("GET", "HEAD"):
            return _json_response(
                {"type": "method-not-allowed", "methods": ["GET", "HEAD"]}, status=405
            )
        return handler()

    def _status_page(self) -> Response:
        return _json_response(self._source.status())

    def _members_page(self) -> Response:
        return _json_response(self._source.members())

    def _config_page(self) -> Response:
        configuration = self._source.in_force()
        if configuration is None:
            return _json_response({"type": "nothing-in-force"}, status=404)
        return _json_response(mask_secrets(configuration))

    def _ready_page(self) -> Response:
        ready = self._source.is_ready()
        return _json_response({"ready": ready}, status=200 if ready else 503)

    def _metrics_page(self) -> Response:
        from pewtertack.node.exposition import CONTENT_TYPE, Exposition

        if self._exposition is None:
            self._exposition = Exposition(self._registry)
        return Response(200, CONTENT_TYPE, self._exposition.render())


def mask_secrets(configuration: ResolvedConfiguration) -> dict[str, Any]:
    """Return the configuration as plain data, with the values of secrets masked."""
    plain: dict[str, Any] = msgspec.to_builtins(
        configuration, builtin_types=(bytes,), enc_hook=_to_plain_mapping
    )
    revision = configuration.revision
    plain["revision"] = {"number": revision.number, "digest": revision.digest.hex()}
    plain["secrets"] = dict.fromkeys(sorted(configuration.secrets), MASK)
    return plain


def _to_plain_mapping(value: Any) -> Any:
    """Convert the read-only mappings of a configuration to plain dictionaries."""
    if isinstance(value, Mapping):
        return dict(value)
    raise NotImplementedError(f"{type(value).__name__} cannot be part of a configuration")


def _json_response(value: Any, status: int = 200) -> Response:
    return Response(status, JSON_TYPE, encode_json(value))
