"""Stand-ins for a small deployment on loopback addresses: store, back ends, clients and nodes.

Only the standard library is used. Every machine has an address of its own in 127.0.0.0/8, since
the nodes of a deployment have the same ports on all machines. A node is started with the command
of ``deploy/system.toml`` and a settings file filled from ``deploy/node.toml.template``.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("ikeja", "yaba", "lekki", "surulere")
REGION = "lagos"
MAX_WAIT_MS = 30_000
BROKEN = 3
"""Exit code of a case whose rule was broken; ``run.sh`` turns it into 1, and others into 2."""
NODE_START_SECONDS = 20.0
NODE_END_SECONDS = 8.0

Headers = dict[str, str]


class CaseError(Exception):
    """The case could not run."""


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began_at = time.monotonic()

    def note(self, text: str) -> None:
        """Write one line, with the seconds since the start."""
        self._file.write(f"{time.monotonic() - self._began_at:8.3f}  {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


# The platform's store


@dataclass
class Item:
    """One item of the store."""

    value: bytes
    revision: int
    made: int


class Store:
    """The read interface of the platform's metadata store, linearizable and without faults."""

    def __init__(self, page_items: int = 500) -> None:
        self.items: dict[str, Item] = {}
        self.history: deque[tuple[int, str, Item | None]] = deque()
        self.revision = 1
        self.address = ""
        self._page_items = page_items
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen."""
        self.address = f"{host}:{port}"
        self._server = await asyncio.start_server(self._serve, host, port)

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def put(self, key: str, value: Any) -> None:
        """Write an item; its return is the acknowledgement."""
        content = value if isinstance(value, bytes) else json.dumps(value).encode()
        async with self._changed:
            self.revision += 1
            old = self.items.get(key)
            item = Item(content, self.revision, old.made if old else self.revision)
            self.items[key] = item
            self.history.append((self.revision, key, item))
            self._changed.notify_all()

    async def delete(self, key: str) -> None:
        """Remove an item."""
        async with self._changed:
            if self.items.pop(key, None) is not None:
                self.revision += 1
                self.history.append((self.revision, key, None))
                self._changed.notify_all()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                status, body = await self._answer(request.target)
                content = json.dumps(body).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                writer.write(f"{head}Content-Length: {len(content)}\r\n\r\n".encode() + content)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the node has closed the connection, or the case ends
        finally:
            writer.close()

    async def _answer(self, target: str) -> tuple[int, Any]:
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        if url.path == "/kv-key":
            item = self.items.get(query["PrivateKey"])
            if item is None:
                return 404, {"at": self.revision}
            return 200, {**_item_body(query["PrivateKey"], item), "at": self.revision}
        if url.path == "/kv-range":
            prefix, after = query.get("PathPrefix", ""), query.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            page = keys[: self._page_items]
            items = [_item_body(key, self.items[key]) for key in page]
            return 200, {"items": items, "more": len(keys) > len(page), "at": self.revision}
        if url.path == "/kv-watch":
            return await self._watch(query)
        return 404, {}

    async def _watch(self, query: dict[str, str]) -> tuple[int, Any]:
        prefix, after = query.get("PathPrefix", ""), int(query.get("after", "0"))
        until = time.monotonic() + min(int(query.get("WaitMs", "0")), MAX_WAIT_MS) / 1000
        async with self._changed:
            while True:
                events = [
                    {"PrivateKey": key, "Revision": revision, "gone": True}
                    if item is None
                    else _item_body(key, item)
                    for revision, key, item in self.history
                    if revision > after and key.startswith(prefix)
                ]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "at": self.revision}
                try:
                    await asyncio.wait_for(self._changed.wait(), left)
                except TimeoutError:
                    continue


def _item_body(key: str, item: Item) -> dict[str, Any]:
    value = base64.b64encode(item.value).decode()
    return {
        "PrivateKey": key,
        "Value": value,
        "Revision": item.revision,
        "made": item.made,
        "lease": 0,
    }


# Requests


@dataclass
class Request:
    """One request, as it was read from a connection."""

    method: str
    target: str
    headers: Headers
    body: bytes = b""


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request of a connection, ``None`` at its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = _headers_of(lines)
    return Request(method, target, headers, await _read_body(reader, headers))


def _headers_of(lines: list[str]) -> Headers:
    headers: Headers = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return headers


async def _read_body(reader: asyncio.StreamReader, headers: Headers) -> bytes:
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = bytearray()
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if size:
                body += await reader.readexactly(size)
            await reader.readuntil(b"\r\n")
            if not size:
                return bytes(body)
    return await reader.readexactly(int(headers.get("content-length", "0")))


@dataclass
class Answer:
    """One answer, as a client read it."""

    status: int
    headers: Headers
    body: bytes


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Return the next answer of a connection."""
    while True:
        head = await reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        status = int(first.split(" ", 2)[1])
        if status >= 200:
            headers = _headers_of(lines)
            return Answer(status, headers, await _read_body(reader, headers))


# Back ends


@dataclass
class Run:
    """One request that a back end began to work on."""

    at: float
    backend: Backend
    request: Request


@dataclass
class Backend:
    """An application back end: its own incarnation, its service, and what it has run."""

    name: str
    service: str
    zone: str
    host: str
    port: int
    slots: int = 6
    work_seconds: float = 0.01
    runs: list[Run] = field(default_factory=list)
    record: Record | None = None
    answer: Callable[[Request], Awaitable[tuple[int, Headers, bytes]]] | None = None
    _running: int = 0
    _server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """``ip:port``."""
        return f"{self.host}:{self.port}"

    def entry(self, state: str = "ready") -> dict[str, Any]:
        """Return the entry in the store."""
        return {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": self.slots,
            "State": state,
            "ColdRemaining": "0s",
            "Sequence": 1,
        }

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, self.host, self.port)

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                status, headers, body = await self._handle(request)
                lines = [f"HTTP/1.1 {status} X", *(f"{k}: {v}" for k, v in headers.items())]
                lines.append(f"Content-Length: {len(body)}")
                writer.write("\r\n".join([*lines, "", ""]).encode() + body)
                await writer.drain()
        except asyncio.CancelledError:
            pass  # the case ends
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            self._note(f"connection broke: {error!r}")
        finally:
            writer.close()

    def _note(self, text: str) -> None:
        if self.record is not None:
            self.record.note(f"back end {self.name} ({self.service}): {text}")

    async def _handle(self, request: Request) -> tuple[int, Headers, bytes]:
        attempt = request.headers.get("x-attempt-id", "")
        load = {"X-Server-Load": f"{self._running},0,{self.slots}"}
        if request.target == "/health":
            return 200, {"X-Instance-Id": self.name, **load}, b""
        expected = request.headers.get("x-expected-instance")
        if expected not in (None, self.name):
            self._note(f"421 for {attempt}: {expected} is expected")
            return 421, {"X-Attempt-Id": attempt, "X-Not-Executed": "1", **load}, b""
        if not attempt:
            return 400, {"X-Not-Executed": "1", **load}, b""
        self.runs.append(Run(time.monotonic(), self, request))
        caller = request.headers.get("x-caller-service")
        self._note(
            f"runs {attempt}: {request.method} {request.target} host {request.headers.get('host')}"
            f" caller service {caller} body {len(request.body)} bytes"
        )
        self._running += 1
        try:
            await asyncio.sleep(self.work_seconds)
            status, headers, body = 200, {}, f"{self.name} ran {attempt}\n".encode()
            if self.answer is not None:
                status, headers, body = await self.answer(request)
        finally:
            self._running -= 1
        signature = f"{self.name}.{attempt}"
        return (
            status,
            {"X-Attempt-Id": attempt, "X-Server-Signature": signature, **load, **headers},
            body,
        )


# Nodes


@dataclass
class Ports:
    """The ports of every machine."""

    application: int
    inbound: int
    outbound: int
    readiness: int
    peer: int
    store: int


class Node:
    """One process of the project, on one machine."""

    def __init__(self, host: str, zone: str, settings: str, folder: Path, record: Record) -> None:
        self.host = host
        self.zone = zone
        self._folder = folder / f"node-{host}"
        self._folder.mkdir()
        self._settings_file = self._folder / "local.toml"
        self._record = record
        self._process: subprocess.Popen[bytes] | None = None
        self.write_settings(settings)

    def write_settings(self, text: str) -> None:
        """Place the settings file in one step."""
        temporary = self._settings_file.with_suffix(".new")
        temporary.write_text(text, encoding="utf-8")
        temporary.replace(self._settings_file)

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
        command = deploy["roles"]["node"]["run"].split(" ")
        names = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in names if name in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PEWTERTACK_NODE_FILE"] = str(self._settings_file)
        with (self._folder / "log").open("ab") as log:
            self._process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )
        self._record.note(f"node {self.host} started, process {self._process.pid}")

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self._process is not None
        self._record.note(f"node {self.host}: {number.name}")
        self._process.send_signal(number)

    @property
    def pid(self) -> int:
        """The id of the process."""
        assert self._process is not None
        return self._process.pid

    def poll(self) -> int | None:
        """Return the exit code, ``None`` while the process runs."""
        return None if self._process is None else self._process.poll()

    def log_text(self) -> str:
        """Return what the process has written."""
        return (self._folder / "log").read_text(encoding="utf-8", errors="replace")

    def end(self) -> None:
        """End the process if it runs."""
        if self._process is None or self._process.poll() is not None:
            return
        self._process.kill()
        self._process.wait(NODE_END_SECONDS)


class Deployment:
    """A small deployment: the store, and machines with one back end and one node each.

    Args:
        services: the service of each machine's back end.
        record: where the events are written.
        zones: the zones, among which the machines are dealt in turn.
        region: the region of the zones.
        bounds: entries of ``Bounds`` that differ from the usual ones.
    """

    def __init__(
        self,
        services: list[str],
        record: Record,
        zones: tuple[str, ...] = ZONES,
        region: str = REGION,
        bounds: dict[str, Any] | None = None,
    ) -> None:
        self.record = record
        self._region = region
        self._bounds = bounds or {}
        self.folder = Path(tempfile.mkdtemp(prefix="pewtertack-review-"))
        self.store = Store()
        subnet = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        hosts = [f"{subnet}.{number}" for number in range(10, 10 + len(services))]
        self.ports = _free_ports([f"{subnet}.1", *hosts])
        self.store_host = f"{subnet}.1"
        self.backends = [
            Backend(
                f"i-{random.getrandbits(40):010x}",
                service,
                zones[number % len(zones)],
                host,
                self.ports.application,
                record=record,
            )
            for number, (service, host) in enumerate(zip(services, hosts, strict=True))
        ]
        self.nodes = [
            Node(item.host, item.zone, self.settings_of(item), self.folder, record)
            for item in self.backends
        ]

    def settings_of(self, backend: Backend, **changes: Any) -> str:
        """Return the settings file of the node beside ``backend``, from the template."""
        ports = self.ports
        fields: dict[str, Any] = {
            "NodeName": f"sidecar-{backend.zone}-{backend.host.rpartition('.')[2]}",
            "IpAddress": backend.host,
            "Zone": backend.zone,
            "Region": self._region,
            "Bootstrap": True,
            "Application": backend.address,
            "Service": backend.service,
            "InternalPortRange": [ports.peer, ports.peer + 15],
            "ListenAddresses": {
                "Inbound": f"{backend.host}:{ports.inbound}",
                "Outbound": f"{backend.host}:{ports.outbound}",
                "Readiness": f"{backend.host}:{ports.readiness}",
            },
            "Limits": {"BandwidthMbps": 1000.0, "MemoryMb": 300, "FileDescriptors": 4100},
            "Platform": {
                "Address": f"{self.store_host}:{ports.store}",
                "value_bytes": 1048576,
                "reads_per_s": 2000,
            },
            "Bounds": {
                "Drain": "2000ms",
                "Grace": "6s",
                "ConfigApply": "2000ms",
                "RetryBudgetRatio": 0.2,
                "BudgetWindow": "10s",
                "RetryBudgetSlack": 64,
                **self._bounds,
            },
        }
        fields.update(changes)
        template = (ROOT / "deploy" / "node.toml.template").read_text(encoding="utf-8")
        return fill_template(template, fields)

    async def start(self, configuration: dict[str, Any]) -> None:
        """Start everything and wait until all nodes are ready.

        Raises:
            CaseError: a node does not become ready.
        """
        await self.store.start(self.store_host, self.ports.store)
        await self.store.put("op/config", configuration)
        for backend in self.backends:
            await backend.start()
            await self.store.put(f"servers/{backend.name}", backend.entry())
        for node in self.nodes:
            node.start()
        await self.wait_ready(self.nodes)

    async def wait_ready(self, nodes: list[Node]) -> None:
        """Wait until the nodes answer ``GET`` on their readiness address with 200.

        Raises:
            CaseError: one of them does not in time.
        """
        until = time.monotonic() + NODE_START_SECONDS
        for node in nodes:
            while not await self.is_ready(node):
                if time.monotonic() > until or node.poll() is not None:
                    raise CaseError(f"node {node.host} is not ready: {node.log_text()[-2000:]}")
                await asyncio.sleep(0.1)
            self.record.note(f"node {node.host} is ready")

    async def is_ready(self, node: Node) -> bool:
        """Ask a node whether it is ready, as the platform does once a second."""
        try:
            answer = await asyncio.wait_for(self._ask_ready(node), 1.0)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return answer.status == 200

    async def _ask_ready(self, node: Node) -> Answer:
        reader, writer = await asyncio.open_connection(node.host, self.ports.readiness)
        try:
            path = readiness_path()
            writer.write(f"GET {path} HTTP/1.1\r\nHost: {node.host}\r\n\r\n".encode())
            return await read_answer(reader)
        finally:
            writer.close()

    async def open(self, node: Node) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a client's connection to the node's ``Outbound`` address."""
        return await asyncio.open_connection(node.host, self.ports.outbound)

    def runs(self) -> list[Run]:
        """Return what all back ends have run, in the order of time."""
        found = [run for backend in self.backends for run in backend.runs]
        return sorted(found, key=lambda run: run.at)

    def stop(self, keep: bool = False) -> None:
        """End all processes, and remove the temporary folder."""
        for node in self.nodes:
            node.end()
        for backend in self.backends:
            backend.close()
        self.store.close()
        if not keep:
            shutil.rmtree(self.folder, ignore_errors=True)


def readiness_path() -> str:
    """Return the path of the readiness question, which ``deploy/wire.toml`` may move."""
    wire = tomllib.loads((ROOT / "deploy" / "wire.toml").read_text(encoding="utf-8"))
    return wire.get("calls", {}).get("GET /readiness", "GET /readiness").partition(" ")[2]


def _free_ports(hosts: list[str]) -> Ports:
    """Return ports that are free at all the addresses.

    Raises:
        CaseError: none were found.
    """
    for _ in range(50):
        base = random.randint(20_000, 60_000)
        ports = Ports(base, base + 1, base + 2, base + 3, base + 10, base + 40)
        numbers = [*range(base, base + 41), 9464]
        if all(_is_free(host, number) for host in hosts for number in numbers):
            return ports
    raise CaseError("no free ports")


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


def fill_template(template: str, fields: dict[str, Any]) -> str:
    """Fill a settings template as DEPLOY.md describes it (values, and tables or absent ones)."""
    block = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
    text = block.sub(lambda m: m[2] if _field(fields, m[1]) is not None else "", template)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", lambda m: _value(fields, m[1], bool(m[2])), text)


def _value(fields: dict[str, Any], path: str, as_json: bool) -> str:
    value = _field(fields, path)
    if as_json:
        return json.dumps(value)
    return "" if value is None else str(value)


def _field(fields: Any, path: str) -> Any:
    for name in path.split("."):
        if isinstance(fields, list):
            fields = fields[int(name)] if int(name) < len(fields) else None
        else:
            fields = fields.get(name) if isinstance(fields, dict) else None
    return fields


def route(name: str, host: str, prefix: str, service: str, **changes: Any) -> dict[str, Any]:
    """Return a route of the operator's configuration."""
    return {
        "Name": name,
        "Host": host,
        "PathPrefix": prefix,
        "Service": service,
        "Kind": "safe",
        "MaxAttempts": 2,
        "Timeout": "3s",
        "TargetLatency": "500ms",
        "Priority": 1,
        **changes,
    }


def configuration(
    version: int, services: list[str], routes: list[dict[str, Any]], **changes: Any
) -> dict[str, Any]:
    """Return a configuration as the operator writes it."""
    return {
        "Version": f"r{version}",
        "Routes": routes,
        "Services": [
            {"Name": name, "ConnectionLimit": 130, "HealthPath": "/health"} for name in services
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeout": "5s",
            "IdleTimeout": "30s",
        },
        **changes,
    }


def new_id() -> str:
    """Return an attempt id."""
    return f"{random.getrandbits(64):016x}"


def run_case(case: Callable[[Record, bool], Awaitable[bool]], folder: Path) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if it could not run.

    ``case`` is given the record and whether there is to be a disruption; it returns whether the
    rule held. ``TROUBLE=0`` runs it without the disruption.
    """
    record = Record(folder / "record.txt")
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # ends the processes on the way out
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note(f"trouble: {trouble}")
    try:
        held = asyncio.run(case(record, trouble))
    except Exception as error:  # whatever fails here is no verdict on the rule
        record.note(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
        code = 2
    else:
        record.note("the rule held" if held else "THE RULE WAS BROKEN")
        code = 0 if held else BROKEN
    record.close()
    sys.exit(code)
