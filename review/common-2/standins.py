"""Stand-ins of the second review: a store, back ends, callers and the nodes' processes.

They use the standard library only. Each node has an IP address of its own in 127.0.0.0/8, and reads
the store at an address of its own, so that the store can tell the nodes apart.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
TEMPLATE = ROOT / "deploy" / "node.toml.template"
BOUNDS = {
    "RetryBudgetRatio": 0.2,
    "BudgetWindow": "10s",
    "RetryBudgetSlack": 64,
    "Grace": "6s",
}
HOST = "ficu95.example"
READY_SECONDS = 30.0
EXIT_HELD, EXIT_BROKEN, EXIT_UNUSABLE = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

Head = dict[str, str]
Answer = tuple[int, Head, bytes]


class Record:
    """The lines of ``record.txt``, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._started = time.monotonic()
        self._file = (folder / "record.txt").open("w", encoding="utf-8")

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now():8.3f}  {text}\n")

    def say(self, text: str) -> None:
        """Write one line, and show it."""
        self.write(text)
        print(f"{self.now():8.3f}  {text}", flush=True)

    def close(self) -> None:
        """Write out everything."""
        self._file.close()


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Head] | None:
    """Return the first line and the headers of a message, ``None`` at the end of the stream."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = raw.decode("latin-1").rstrip("\r\n").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_body(reader: asyncio.StreamReader, head: Head) -> bytes:
    """Return the body of a message with a length or in chunks."""
    if head.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while size := int((await reader.readline()).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readline()
        await reader.readline()
        return b"".join(parts)
    length = int(head.get("content-length", "0"))
    return await reader.readexactly(length) if length else b""


def encode(first: str, headers: Head, body: bytes) -> bytes:
    """Return a message whose body has a length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode() + body


# The platform's store


@dataclass
class Item:
    """One item of the store."""

    value: bytes
    revision: int
    made: int


class Store:
    """The platform's store, by ``PROTOCOL.md``; nodes only read."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._revision = 1
        self._items: dict[str, Item] = {}
        self._events: list[tuple[int, str, Item | None]] = []
        self._changed = asyncio.Event()
        self.silent: set[str] = set()
        """Nodes that the store turns away with silence."""
        self.watching: dict[tuple[str, str], float] = {}
        """The open watches by node and prefix, and when each was opened."""
        self.loses: Callable[[str, str], bool] = lambda _node, _prefix: False
        """Tells whether the answer to a watch of a node is lost."""

    def put(self, key: str, value: object) -> int:
        """Write an item; return its revision."""
        self._revision += 1
        known = self._items.get(key)
        made = known.made if known else self._revision
        item = Item(json.dumps(value).encode(), self._revision, made)
        self._items[key] = item
        self._note(key, item)
        return self._revision

    def remove(self, key: str) -> int:
        """Remove an item; return the revision."""
        self._revision += 1
        del self._items[key]
        self._note(key, None)
        return self._revision

    def _note(self, key: str, item: Item | None) -> None:
        self._record.write(f"store: {key} {'written' if item else 'removed'} at {self._revision}")
        self._events.append((self._revision, key, item))
        self._changed.set()
        self._changed = asyncio.Event()

    async def listen(self, node: str, host: str, port: int) -> None:
        """Serve one node at an address of its own."""
        await asyncio.start_server(lambda r, w: self._serve(node, r, w), host, port)

    async def _serve(
        self, node: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (read := await read_head(reader)) is not None:
                prefix = parse_qs(urlsplit(read[0].split()[1]).query).get("PathPrefix", [""])[0]
                answer = await self._answer(node, read[0].split()[1])
                lost = read[0].split()[1].startswith("/kv-watch") and self.loses(node, prefix)
                if lost or node in self.silent:
                    self._record.write(f"store: no answer to {node}: {read[0]}")
                    await reader.read()  # the connection says nothing more
                    return
                writer.write(answer)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def _answer(self, node: str, target: str) -> bytes:
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        prefix = query.get("PathPrefix", "")
        if parts.path == "/kv-range":
            keys = [key for key in sorted(self._items) if key.startswith(prefix)]
            items = [self._shown(key, self._items[key]) for key in keys]
            return self._json({"items": items, "more": False, "at": self._revision})
        if parts.path != "/kv-watch":
            return encode("HTTP/1.1 404 Not Found", {}, b"{}")
        after, wait = int(query["after"]), int(query.get("WaitMs", "0")) / 1000
        until = time.monotonic() + wait
        self.watching[node, prefix] = time.monotonic()
        try:
            while True:
                changed = self._changed
                events = [
                    self._shown(key, item) if item else self._gone(key, revision)
                    for revision, key, item in self._events
                    if revision > after and key.startswith(prefix)
                ]
                left = until - time.monotonic()
                if events or left <= 0:
                    return self._json({"events": events, "at": self._revision})
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(changed.wait(), left)
        finally:
            self.watching.pop((node, prefix), None)

    @staticmethod
    def _shown(key: str, item: Item) -> dict[str, object]:
        value = base64.b64encode(item.value).decode()
        return {
            "PrivateKey": key,
            "Value": value,
            "Revision": item.revision,
            "made": item.made,
            "lease": 0,
        }

    @staticmethod
    def _gone(key: str, revision: int) -> dict[str, object]:
        return {"PrivateKey": key, "Revision": revision, "gone": True}

    @staticmethod
    def _json(value: object) -> bytes:
        headers = {"Content-Type": "application/json"}
        return encode("HTTP/1.1 200 OK", headers, json.dumps(value).encode())


# Back ends


@dataclass
class Run:
    """One request that a back end has run."""

    at: float
    backend: str
    service: str
    request: str
    caller: str
    """The service that the system names as the caller's."""


class Backend:
    """One back end, by ``PROTOCOL.md``: slots, a short queue, its load in its answers."""

    def __init__(
        self, record: Record, name: str, service: str, runs: list[Run], work: float = 0.02
    ) -> None:
        self.name = name
        self.service = service
        self.work = work
        self.slots = 6
        self._record = record
        self._runs = runs
        self.slow: dict[str, float] = {}
        """Work times of paths that differ from ``work``."""
        self.arrivals: list[tuple[float, str]] = []
        """When the head of each request arrived, and the request's id."""
        self._running = asyncio.Semaphore(self.slots)
        self._count = 0
        self._server: asyncio.Server
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self, host: str, port: int) -> None:
        """Serve at an address."""
        self._server = await asyncio.start_server(self._serve, host, port)

    def end(self) -> None:
        """End: accept no connections, and close those that are open."""
        self._server.close()
        for writer in tuple(self._writers):
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (read := await read_head(reader)) is not None:
                request = read[1].get("x-attempt-id", "")
                self.arrivals.append((self._record.now(), request))
                self._record.write(f"{self.name} ({self.service}) gets the head of {request}")
                body = await read_body(reader, read[1])
                writer.write(await self._answer(read[0], read[1], body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, first: str, head: Head, body: bytes) -> bytes:
        request = head.get("x-attempt-id", "")
        if first.split()[1] == "/health":
            return encode("HTTP/1.1 200 OK", {"X-Instance-Id": self.name}, b"")
        if head.get("x-expected-instance", self.name) != self.name:
            headers = {"X-Attempt-Id": request, "X-Instance-Id": self.name}
            return encode("HTTP/1.1 421 Misdirected Request", headers, b"")
        self._count += 1
        async with self._running:
            caller = head.get("x-caller-service", "")
            self._runs.append(Run(self._record.now(), self.name, self.service, request, caller))
            self._record.write(f"{self.name} ({self.service}) runs {request}, caller {caller}")
            await asyncio.sleep(self.slow.get(first.split()[1], self.work))
        self._count -= 1
        running = min(self._count, self.slots)
        headers = {
            "X-Attempt-Id": request,
            "X-Server-Signature": f"{self.service}.{self.name}",
            "X-Server-Load": f"{running},{self._count - running},{self.slots}",
        }
        return encode("HTTP/1.1 200 OK", headers, self.service.encode() + body[:16])


def entry(service: str, address: str, zone: str, state: str = "ready") -> dict[str, object]:
    """Return the entry that a back end keeps in the store."""
    return {
        "Service": service,
        "Address": address,
        "Zone": zone,
        "Version": "v1",
        "Slots": 6,
        "State": state,
        "ColdRemaining": "0ms",
        "Sequence": 1,
    }


def route(name: str, prefix: str, service: str, **more: object) -> dict[str, object]:
    """Return a route of the operator's configuration."""
    return {
        "Name": name,
        "Host": HOST,
        "PathPrefix": prefix,
        "Kind": "safe",
        "Timeout": "2000ms",
        "TargetLatency": "800ms",
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 2,
        **more,
    }


def configuration(
    version: int, routes: list[dict[str, object]], services: tuple[str, ...]
) -> dict[str, object]:
    """Return the operator's configuration."""
    return {
        "Version": f"r{version}",
        "Routes": routes,
        "Services": [
            {"Name": name, "HealthPath": "/health", "ConnectionLimit": 130} for name in services
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 67108864,
            "HeaderTimeout": "3000ms",
            "IdleTimeout": "15000ms",
        },
    }


# Callers


async def call(address: tuple[str, int], method: str, path: str, headers: Head) -> Answer | None:
    """Send one request on a new connection; return its answer, ``None`` without a whole one."""
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), 1.0)
    except (OSError, TimeoutError):
        return None
    try:
        writer.write(encode(f"{method} {path} HTTP/1.1", {"Host": HOST, **headers}, b""))
        read = await read_head(reader)
        if read is None:
            return None
        body = await read_body(reader, read[1])
        return int(read[0].split()[1]), read[1], body
    except (OSError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        writer.close()


# The nodes' processes


def _render(template: str, values: dict[str, object]) -> str:
    """Fill in the forms of a template that ``deploy/node.toml.template`` uses."""

    def find(path: str) -> object:
        found: object = values
        for name in path.split("."):
            if isinstance(found, list):
                found = found[int(name)]
            elif isinstance(found, dict):
                found = found.get(name)
        return found

    def section(match: re.Match[str]) -> str:
        return match[2] if find(match[1]) else ""

    def gap(match: re.Match[str]) -> str:
        value = find(match[1])
        if match[2]:
            return json.dumps(value)
        return "" if value is None else str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.DOTALL)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", gap, text)


@dataclass
class Node:
    """One machine: its addresses and the process on it."""

    name: str
    ip: str
    zone: str
    service: str
    ports: list[int]
    store: str
    process: subprocess.Popen[bytes] | None = None
    backend: Backend | None = None
    sent: int = field(default=0)

    @property
    def outbound(self) -> tuple[str, int]:
        """Where its callers send requests."""
        return self.ip, self.ports[0]

    @property
    def readiness(self) -> tuple[str, int]:
        """Where the platform asks whether it is ready."""
        return self.ip, self.ports[2]

    @property
    def application(self) -> tuple[str, int]:
        """Where its back end listens."""
        return self.ip, self.ports[3]


def free_ports(count: int, host: str = "127.0.0.1") -> list[int]:
    """Return free ports, in a row."""
    for base in range(20000 + os.getpid() % 9000, 32000, count):
        sockets: list[socket.socket] = []
        try:
            for port in range(base, base + count):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    sock = socket.socket(socket.AF_INET, kind)
                    sockets.append(sock)
                    sock.bind((host, port))
        except OSError:
            continue
        finally:
            for sock in sockets:
                sock.close()
        return list(range(base, base + count))
    raise RuntimeError("no free ports")


class Fleet:
    """The nodes of a small deployment, each beside a back end."""

    def __init__(self, record: Record, store: Store) -> None:
        self.record = record
        self.store = store
        self.nodes: list[Node] = []
        self.runs: list[Run] = []
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._command = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"][
            "node"
        ]["run"].split()

    async def add(self, zone: int, number: int, service: str, ports: list[int]) -> Node:
        """Add a machine with its back end; ``start`` starts the node."""
        ip, name = f"127.77.{zone}.{number}", f"node-{zone}-{number}"
        store_ip = f"127.78.{zone}.{number}"
        node = Node(name, ip, f"zone-{zone}", service, ports, f"{store_ip}:{ports[0]}")
        await self.store.listen(name, store_ip, ports[0])
        await self.add_backend(node, f"i-{zone}{number:02d}a")
        self.nodes.append(node)
        return node

    async def add_backend(self, node: Node, name: str) -> None:
        """Start a back end on a machine, and write its entry."""
        node.backend = Backend(self.record, name, node.service, self.runs)
        await node.backend.listen(*node.application)
        self.write_entry(node)

    def write_entry(self, node: Node, state: str = "ready") -> int:
        """Write the entry of the back end beside a node; return its revision."""
        assert node.backend is not None
        ip, port = node.application
        value = entry(node.service, f"{ip}:{port}", node.zone, state)
        return self.store.put(f"servers/{node.backend.name}", value)

    def write_settings(self, node: Node, first: bool = True) -> Path:
        """Write a node's settings file, as the platform fills in the template."""
        values: dict[str, object] = {
            "IpAddress": node.ip,
            "Zone": node.zone,
            "Region": "lagos",
            "Bootstrap": first,
            "Limits": {"BandwidthMbps": 1000.0},
            "ListenAddresses": {
                "Outbound": f"{node.ip}:{node.ports[0]}",
                "Inbound": f"{node.ip}:{node.ports[1]}",
                "Readiness": f"{node.ip}:{node.ports[2]}",
            },
            "InternalPortRange": [node.ports[4], node.ports[4]],
            "Application": f"{node.ip}:{node.ports[3]}",
            "Service": node.service,
            "Platform": {"Address": node.store, "value_bytes": 1048576},
            "Bounds": BOUNDS,
        }
        text = _render(TEMPLATE.read_text(), values).replace(":9464", f":{node.ports[5]}")
        path = self._folder / f"{node.name}.toml"
        new = path.with_suffix(".new")
        new.write_text(text)
        new.rename(path)
        return path

    def start(self, node: Node, first: bool = True) -> None:
        """Start a node's process as the deploy file says."""
        path = self.write_settings(node, first)
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PEWTERTACK_NODE_FILE": str(path),
        }
        log = (self._folder / f"{node.name}.log").open("ab")
        node.process = subprocess.Popen(
            self._command, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()

    def signal(self, node: Node, number: signal.Signals) -> None:
        """Send a signal to the process of one node."""
        assert node.process is not None
        self.record.say(f"{number.name} to {node.name}")
        node.process.send_signal(number)

    async def wait_ready(self, seconds: float = READY_SECONDS) -> bool:
        """Wait until every node says that it is ready."""
        until = time.monotonic() + seconds
        for node in self.nodes:
            while (answer := await call(node.readiness, "GET", "/ready", {})) is None or answer[
                0
            ] != 200:
                if time.monotonic() > until:
                    log = (self._folder / f"{node.name}.log").read_text(errors="replace")
                    self.record.say(f"{node.name} is not ready: {answer}; {log[-500:]}")
                    return False
                await asyncio.sleep(0.1)
        return True

    def stop(self) -> None:
        """End all processes, each by its id."""
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
        for node in self.nodes:
            if node.process is not None:
                node.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self._folder}")
        else:
            shutil.rmtree(self._folder, ignore_errors=True)


def run_case(folder: Path, case: Callable[[Record, Store, Fleet], Awaitable[int]]) -> None:
    """Run a case and exit with its result; a case that fails to run exits with 2."""

    async def run() -> int:
        record = Record(folder)
        store = Store(record)
        fleet = Fleet(record, store)
        try:
            async with asyncio.timeout(115):
                return await case(record, store, fleet)
        except Exception as error:  # whatever it is, the case could not run
            record.say(f"the case could not run: {type(error).__name__}: {error}")
            return EXIT_UNUSABLE
        finally:
            fleet.stop()
            record.close()

    result = asyncio.run(run())
    words = {EXIT_HELD: "the rule held", EXIT_BROKEN: "the rule was broken"}
    print(words.get(result, "the case could not run"), flush=True)
    sys.stdout.flush()
    os._exit(result)
