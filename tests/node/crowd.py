"""A crowd of clients that stay within no limit, and the resources that a process holds for them."""

from __future__ import annotations

import asyncio
import contextlib
import os
import select
import socket
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import msgspec

PIECE_BYTES = 32_768
CONNECT_TIMEOUT_SECONDS = 5.0
RECONNECT_SECONDS = 0.02
SAMPLE_SECONDS = 0.02
READ_BYTES = 65_536
TCP_TABLE_LOCAL_ADDRESS, TCP_TABLE_QUEUES = 1, 4
"""Columns of ``/proc/net/tcp``."""


class Behaviour(msgspec.Struct, frozen=True):
    """What one client sends on each of its connections."""

    start: bytes = b""
    repeated: bytes = b""
    """Sent after ``start`` until the connection ends; without it the client sends nothing more."""
    reads: bool = False
    """Whether the client reads what it is sent."""


class Crowd:
    """Clients that open a connection again whenever theirs has ended.

    Args:
        address: ``ip:port``.
        behaviours: the clients take them in turn.
    """

    def __init__(self, address: str, clients: int, *behaviours: Behaviour) -> None:
        host, _, port = address.rpartition(":")
        self._target = (host, int(port))
        self._behaviours = [behaviours[number % len(behaviours)] for number in range(clients)]
        self._tasks: list[asyncio.Task[None]] = []
        self.connections = 0
        """Connections made so far."""

    async def __aenter__(self) -> Crowd:
        self._tasks = [asyncio.create_task(self._run(item)) for item in self._behaviours]
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run(self, behaviour: Behaviour) -> None:
        while True:
            with socket.socket() as sock, contextlib.suppress(OSError, TimeoutError):
                sock.setblocking(False)
                async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                    await asyncio.get_running_loop().sock_connect(sock, self._target)
                self.connections += 1
                await self._misbehave(sock, behaviour)
            await asyncio.sleep(RECONNECT_SECONDS)

    async def _misbehave(self, sock: socket.socket, behaviour: Behaviour) -> None:
        reading = asyncio.create_task(_read_all(sock)) if behaviour.reads else None
        try:
            await _send_all(sock, behaviour)
        finally:
            if reading is not None:
                reading.cancel()
                await asyncio.gather(reading, return_exceptions=True)


async def _send_all(sock: socket.socket, behaviour: Behaviour) -> None:
    """Send until the connection ends, or wait for its end."""
    loop = asyncio.get_running_loop()
    await loop.sock_sendall(sock, behaviour.start)
    piece = behaviour.repeated * (PIECE_BYTES // max(1, len(behaviour.repeated)) + 1)
    while behaviour.repeated:
        await loop.sock_sendall(sock, piece)
        await asyncio.sleep(0)
    while not _has_ended(sock):
        await asyncio.sleep(SAMPLE_SECONDS)


def _has_ended(sock: socket.socket) -> bool:
    """Tell whether the other end has closed or reset the connection; reads nothing."""
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    return bool(poll.poll(0))


async def _read_all(sock: socket.socket) -> None:
    loop = asyncio.get_running_loop()
    with contextlib.suppress(OSError):
        while await loop.sock_recv(sock, READ_BYTES):
            pass


class ResourceUse:
    """The highest memory and number of descriptors that a process has while it is watched.

    Memory is the resident memory with the bytes that wait in the kernel to be read by the process.

    Args:
        pid: the process.
        ports: the ports of its listeners; bytes that wait on their connections count.
    """

    def __init__(self, pid: int, ports: frozenset[int]) -> None:
        self._pid = pid
        self._ports = ports
        self.memory_mb = 0.0
        self.descriptors = 0

    async def watch(self, seconds: float) -> None:
        """Sample until the time is over or the process has ended."""
        until = time.monotonic() + seconds
        while time.monotonic() < until and self.sample():
            await asyncio.sleep(SAMPLE_SECONDS)

    def sample(self) -> bool:
        """Sample once; return whether the process is alive."""
        try:
            lines = Path(f"/proc/{self._pid}/status").read_text(encoding="ascii").splitlines()
            self.descriptors = max(self.descriptors, len(os.listdir(f"/proc/{self._pid}/fd")))
        except (FileNotFoundError, ProcessLookupError):
            return False
        resident = next((line.split()[1] for line in lines if line.startswith("VmRSS:")), None)
        if resident is None:  # it has ended and not been waited for
            return False
        peak = next(line.split()[1] for line in lines if line.startswith("VmHWM:"))
        memory = int(resident) / 1024 + unread_bytes(self._ports) / (1024 * 1024)
        self.memory_mb = max(self.memory_mb, memory, int(peak) / 1024)
        return True


def unread_bytes(ports: frozenset[int]) -> int:
    """Return the bytes that wait in the kernel on connections whose local port is in ``ports``."""
    rows = Path("/proc/net/tcp").read_text(encoding="ascii").splitlines()[1:]
    total = 0
    for columns in map(str.split, rows):
        if int(columns[TCP_TABLE_LOCAL_ADDRESS].rpartition(":")[2], 16) in ports:
            total += int(columns[TCP_TABLE_QUEUES].partition(":")[2], 16)
    return total


async def answered(ask: Callable[[], Awaitable[int]], status: int, seconds: float) -> bool:
    """Ask again until the status of the answer is ``status``; return whether it was in time."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        with contextlib.suppress(OSError, TimeoutError):
            if await ask() == status:
                return True
        await asyncio.sleep(RECONNECT_SECONDS)
    return False
