"""A server that answers without end, and a node whose back end, peer or store it is."""

import asyncio
import contextlib
from pathlib import Path

from pewtertack.lab.fleet.ports import PortAllocator
from tests.node.proxy.harness import ProxyTestCase

OWN_HOST = "127.0.0.61"
PEER_HOST = "127.0.0.62"
"""Host of a gateway that answers without end, as the node's back end does."""
CALLER_HEADERS = {"host": "desk.example"}
MEMORY_LIMIT_MB = 60
PIECE_BYTES = 65_536


def peak_memory_mb(pid: int) -> float:
    """Return the highest resident memory that a process has had."""
    lines = Path(f"/proc/{pid}/status").read_text(encoding="ascii").splitlines()
    return next(int(line.split()[1]) / 1024 for line in lines if line.startswith("VmHWM:"))


class EndlessServer:
    """Answers every request by ``start`` and ``repeated``, until its connection is closed."""

    def __init__(self) -> None:
        self.start = self.repeated = b""
        self.answers = 0
        self.open_connections = 0
        """Connections on which an answer is being sent."""

    async def listen(self, case: ProxyTestCase, host: str, port: int = 0) -> str:
        server = await asyncio.start_server(self._handle, host, port)
        case.addAsyncCleanup(server.wait_closed)
        case.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def _handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
            self.answers += 1
            self.open_connections += 1
            try:
                await self._send_without_end(writer, head)
            finally:
                self.open_connections -= 1
        writer.close()

    async def _send_without_end(self, writer: asyncio.StreamWriter, head: str) -> None:
        writer.write(self._identified(head))
        piece = self.repeated * max(1, PIECE_BYTES // len(self.repeated))
        while True:
            writer.write(piece)
            await writer.drain()

    def _identified(self, head: str) -> bytes:
        if "\r\nx-request-id: " not in head:
            return self.start
        request_id = head.split("\r\nx-request-id: ")[1].split("\r\n")[0]
        status_line, separator, rest = self.start.partition(b"\r\n")
        return b"%b%bx-request-id: %b%b%b" % (
            status_line,
            separator,
            request_id.encode(),
            separator,
            rest,
        )


class EndlessAnswersTestCase(ProxyTestCase):
    extra_settings = ""
    """Further sections of the node's settings."""

    async def asyncSetUp(self) -> None:
        self.allocator = PortAllocator()
        self.peer_port, self.gateway_port = (
            self.allocator.allocate(OWN_HOST, PEER_HOST).port for _ in range(2)
        )

    def settings(self, store: str, backend: str) -> str:
        return f"""
            node = {{name = "{OWN_HOST}", zone = "garia", region = "r"}}
            source = {{url = "http://{store}", durable = true}}
            machines = {{url = "http://{store}"}}
            peers = {{key = "{"ab" * 16}", seeds = []}}
            profile = {{name = "leased"}}
            backend = {{address = "{backend}", service = "desk"}}
            [listen]
            proxy = "{OWN_HOST}:0"
            admin = "{OWN_HOST}:0"
            peer = "{OWN_HOST}:{self.peer_port}"
            gateway = "{OWN_HOST}:{self.gateway_port}"
            {self.extra_settings}
        """
