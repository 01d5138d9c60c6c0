"""A back end that names a limit of requests a second, or that it leaves, in its answers."""

from __future__ import annotations

import asyncio

LIMIT_HEADER = "x-limit"
LEAVING_HEADER = "x-leaving"
STATE_HEADER = "x-backend-state"
LEAVING_VALUES = {LEAVING_HEADER: "1", STATE_HEADER: "leaving"}
ORIGIN_HEADER = "x-origin"
"""Header of the test's callers: the node to which the request was sent."""
SETTINGS = f"""
        headers = {{rate_limit = "{LIMIT_HEADER}", leaving = "{LEAVING_HEADER}"}}
"""
"""The nodes' settings for these headers."""
EXECUTION_SECONDS = 0.05


class Arrival:
    """One request at the back end, and when the caller sent it."""

    __slots__ = ("at", "origin")

    def __init__(self, at: float, origin: str) -> None:
        self.at = at
        self.origin = origin


class LimitedBackend:
    """Answers every request with 200 and records its arrival by the event loop's clock."""

    def __init__(self) -> None:
        self.address = ""
        self.limits: tuple[str, ...] = ()
        """The limits that its answers name; usually one at most."""
        self.leaving_header = ""
        """The header by which its answers say that it leaves, if they do."""
        self.status = "200 OK"
        self.more_headers: tuple[str, ...] = ()
        self.arrivals: list[Arrival] = []
        self.named_by: dict[str, float] = {}
        """When an answer that names a limit was first written, by the node of the request."""
        self._server: asyncio.Server
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    def counted(self, window_end: float, window: float, known_for: float) -> int:
        """Return the requests of a window that began at nodes which knew the limit by then."""
        return sum(
            window_end - window < item.at <= window_end
            and self.named_by.get(item.origin, item.at) <= item.at - known_for
            for item in self.arrivals
        )

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        now = asyncio.get_running_loop().time
        try:
            while head := (await reader.readuntil(b"\r\n\r\n")).decode("latin-1"):
                origin = header_of(head, ORIGIN_HEADER)
                self.arrivals.append(Arrival(now(), origin))
                await asyncio.sleep(EXECUTION_SECONDS)
                if self.limits:
                    self.named_by.setdefault(origin, now())
                writer.write(self._answer(header_of(head, "x-request-id")))
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass  # the node has closed the connection, or the test is over
        finally:
            self._writers.discard(writer)
            writer.close()

    def _answer(self, request_id: str) -> bytes:
        lines = [f"HTTP/1.1 {self.status}", "content-length: 2", f"x-request-id: {request_id}"]
        lines += [f"{LIMIT_HEADER}: {limit}" for limit in self.limits]
        if self.leaving_header:
            lines.append(f"{self.leaving_header}: {LEAVING_VALUES[self.leaving_header]}")
        return "\r\n".join([*lines, *self.more_headers, "", "ok"]).encode()


def header_of(head: str, name: str) -> str:
    """Return the value of a request's header, empty without it."""
    for line in head.split("\r\n"):
        if line.lower().startswith(f"{name}:"):
            return line.partition(":")[2].strip()
    return ""
