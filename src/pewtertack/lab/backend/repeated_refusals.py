"""Late copies of refusals: a back end that sends a refusal again, where the next answer is due."""

from __future__ import annotations

from typing import Any, cast

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from pewtertack.lab.backend.state import BackendState

REFUSAL_START = b"HTTP/1.1 503 "


class _RecordingTransport:
    """Passes everything on to a transport and keeps what was written since the last ``take``."""

    def __init__(self, transport: Any) -> None:
        self._transport = transport
        self._written: list[bytes] = []

    def write(self, data: bytes) -> None:
        self._written.append(data)
        self._transport.write(data)

    def write_copy(self, data: bytes) -> None:
        """Write without keeping ``data``."""
        self._transport.write(data)

    def take(self) -> bytes:
        """Return what was written, and forget it."""
        written = b"".join(self._written)
        self._written.clear()
        return written

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)


def repeating_protocol(state: BackendState) -> type[HttpToolsProtocol]:
    """Return an HTTP protocol class that repeats refusals while ``state`` has that fault."""

    class RepeatingProtocol(HttpToolsProtocol):
        def connection_made(self, transport: Any) -> None:
            self._recording = _RecordingTransport(transport)
            super().connection_made(cast("Any", self._recording))

        def on_headers_complete(self) -> None:
            previous = self._recording.take()
            if state.faults.repeated_refusals and previous.startswith(REFUSAL_START):
                self._recording.write_copy(previous)
            super().on_headers_complete()

    return RepeatingProtocol
