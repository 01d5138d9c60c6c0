"""Measures a node's memory while its back end sends an answer whose header lines don't end.

Beside the cases (review/REPORT.md): one answer, three nodes, nothing is killed. It exits with 1 if
the node beside the back end passes ``MemoryMb``, above which the machines kill a process.
"""

from __future__ import annotations

import asyncio
import sys
import tempfile
import time
from pathlib import Path

import standins
from standins import Backend, Deployment, Record

MEMORY_MB = 300
HOST = "guild.example"
HEADER_LINES = b"Set-Cookie: a=b\r\n" * 4096


class SpoilingBackend(Backend):
    """Sends a status line, and header lines until the connection is closed."""

    sent_bytes = 0

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            request = await standins.read_request(reader)
            if request is None:
                return
            attempt = request.headers.get("x-attempt-id", "")
            writer.write(f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\n".encode())
            while True:
                writer.write(HEADER_LINES)
                self.sent_bytes += len(HEADER_LINES)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the node closed the connection, or the program ends
        finally:
            writer.close()


def memory_mb(pid: int) -> float:
    """Return the resident memory of a process."""
    lines = Path(f"/proc/{pid}/status").read_text(encoding="ascii").splitlines()
    return next(int(line.split()[1]) / 1024 for line in lines if line.startswith("VmRSS:"))


async def _ask(deployment: Deployment) -> int:
    """Send one unsafe request through another node; return the status of its answer."""
    reader, writer = await deployment.open(deployment.nodes[1])
    head = (
        f"POST /award/x HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {standins.new_id()}\r\n"
        "X-Deadline-Milliseconds: 2500\r\nContent-Length: 2\r\n\r\nok"
    )
    writer.write(head.encode())
    answer = await standins.read_answer(reader)
    writer.close()
    return answer.status


async def main() -> int:
    """Return the exit code."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(["archive", "logbook", "logbook"], Record(Path(folder) / "record"))
        item = deployment.backends[0]
        backend = SpoilingBackend(item.name, item.service, item.zone, item.host, item.port)
        deployment.backends[0] = backend
        route = standins.route("award", HOST, "/award/", "archive", Kind="unsafe")
        try:
            await deployment.start(standins.configuration(4, ["logbook", "archive"], [route]))
            pid = deployment.nodes[0].pid
            sizes = [memory_mb(pid)]
            task = asyncio.ensure_future(_ask(deployment))
            began_at = time.monotonic()
            while not task.done():
                await asyncio.sleep(0.02)
                sizes.append(memory_mb(pid))
            seconds = time.monotonic() - began_at
            sent = backend.sent_bytes / 1e6
            print(
                f"status {task.result()} after {seconds:.2f} s, {sent:.0f} MB sent;"
                f" the node held {sizes[0]:.0f} MB before, {max(sizes):.0f} MB at most"
            )
        finally:
            deployment.stop()
    return 1 if max(sizes) > MEMORY_MB else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
