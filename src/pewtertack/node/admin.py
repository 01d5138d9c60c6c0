"""The admin interface: a read-only ASGI application for operators and their tools.

``/status`` and ``/members`` and ``/config`` answer JSON, ``/ready`` 200 or 503,
``/metrics`` the Prometheus text format.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping, MutableMapping
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

import msgspec

from pewtertack.core.configuration.resolved import ResolvedConfiguration
from pewtertack.node.counting import MetricsRegistry

if TYPE_CHECKING:
    from pewtertack.node.exposition import Exposition
    from pewtertack.node.status import MemberView, NodeStatus

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]

JSON_TYPE = "application/json"
MASK = "***"


class Answer(NamedTuple):
    """One HTTP answer."""

    status: int
    content_type: str
    body: bytes


class StatusSource(Protocol):
    """What the admin interface asks the node."""

    def status(self) -> NodeStatus:
        """Return the node's state now."""

    def members(self) -> tuple[MemberView, ...]:
        """Return the peers that the node knows."""

    def in_force(self) -> ResolvedConfiguration | None:
        """Return the configuration by which the proxy serves."""

    def is_ready(self) -> bool:
        """Tell whether callers should be sent here."""


class AdminApplication:
    """ASGI 3 application over a ``StatusSource`` and a metrics registry."""

    def __init__(self, source: StatusSource, registry: MetricsRegistry) -> None:
        self._source = source
        self._registry = registry
        self._exposition: Exposition | None = None
        self._pages: dict[str, Callable[[], Answer]] = {
            "/status": self._status,
            "/members": self._members,
            "/config": self._config,
            "/ready": self._ready,
            "/metrics": self._metrics,
        }

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        answer = self._answer(scope["method"], scope["path"])
        headers = [
            (b"content-type", answer.content_type.encode()),
            (b"content-length", str(len(answer.body)).encode()),
        ]
        await send({"type": "http.response.start", "status": answer.status, "headers": headers})
        body = b"" if scope["method"] == "HEAD" else answer.body
        await send({"type": "http.response.body", "body": body})

    def _answer(self, method: str, path: str) -> Answer:
        page = self._pages.get(path)
        if page is None:
            return _json({"type": "no-such-page", "pages": sorted(self._pages)}, status=404)
        if method not in ("GET", "HEAD"):
            return _json({"type": "method-not-allowed", "methods": ["GET", "HEAD"]}, status=405)
        return page()

    def _status(self) -> Answer:
        return _json(self._source.status())

    def _members(self) -> Answer:
        return _json(self._source.members())

    def _config(self) -> Answer:
        configuration = self._source.in_force()
        if configuration is None:
            return _json({"type": "nothing-in-force"}, status=404)
        return _json(mask_secrets(configuration))

    def _ready(self) -> Answer:
        ready = self._source.is_ready()
        return _json({"ready": ready}, status=200 if ready else 503)

    def _metrics(self) -> Answer:
        from pewtertack.node.exposition import CONTENT_TYPE, Exposition

        if self._exposition is None:
            self._exposition = Exposition(self._registry)
        return Answer(200, CONTENT_TYPE, self._exposition.render())


def mask_secrets(configuration: ResolvedConfiguration) -> dict[str, Any]:
    """Return the configuration as plain data, the secrets' values masked."""
    plain: dict[str, Any] = msgspec.to_builtins(
        configuration, builtin_types=(bytes,), enc_hook=_plain_mapping
    )
    revision = configuration.revision
    plain["revision"] = {"number": revision.number, "digest": revision.digest.hex()}
    plain["secrets"] = dict.fromkeys(sorted(configuration.secrets), MASK)
    return plain


def _plain_mapping(value: Any) -> Any:
    """Turn the read-only mappings of a configuration into plain ones."""
    if isinstance(value, Mapping):
        return dict(value)
    raise NotImplementedError(f"{type(value).__name__} is in no configuration")


def _json(value: Any, status: int = 200) -> Answer:
    return Answer(status, JSON_TYPE, msgspec.json.encode(value))
