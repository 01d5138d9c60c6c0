"""A store that is restored from copies, with the back ends and the operator that write to it."""

from __future__ import annotations

import random
import time
from collections import Counter, deque
from typing import NamedTuple

import anyio
import anyio.abc
import msgspec

from pewtertack.lab.asgi import Receive, Scope, Send, read_body, send_response
from pewtertack.lab.asgi import Response as HttpResponse
from pewtertack.lab.metadata_store.application import MetadataStore, StoreSnapshot
from pewtertack.lab.serving import Listener
from pewtertack.settings import Address

HEARTBEAT_SECONDS = 0.5
COPY_INTERVAL_SECONDS = 0.25
MAX_COPIES = 12
MAX_REWRITE_DELAY_SECONDS = 1.0
"""The longest delay after a restore until the operator writes the newest version again."""
LEAVING_SECONDS = 2.5
"""Time for which a leaving back end still runs requests after it has announced that it leaves, and
again after its entry was removed."""
READ_SECONDS = 1.0
"""Time after which the readers of a reachable store have read a change."""
MAX_MISSED_HEARTBEATS = 3
ENTRY_PREFIX = "servers/"
CALLER_HEADER = b"x-request-id"
"""Request id, which begins with the node whose caller made the request."""
SERVICE = "desk"
ZONE = "garia"
HOST_NAME = "desk.example"
PATH = "/records/"
ROUTE = {
    "Name": "records",
    "Host": HOST_NAME,
    "PathPrefix": PATH,
    "Kind": "safe",
    "Timeout": "4s",
    "TargetLatency": "2s",
    "Service": SERVICE,
    "MaxAttempts": 3,
}
LIMITS = {
    "MaxHeaderBytes": 16384,
    "MaxBodyBytes": 1048576,
    "HeaderTimeout": "3s",
    "IdleTimeout": "15s",
}


class LateRequest(NamedTuple):
    """A request sent to an address whose back end had stopped."""

    host: str
    seconds_after_stop: float
    """Seconds since the back end stopped."""
    node: str
    """The node that sent the request."""

    def __str__(self) -> str:
        """Return the text shown to operators."""
        return (
            f"{self.host}: request by {self.node} {self.seconds_after_stop:.2f} s"
            " after the back end stopped"
        )


class Backend:
    """The incarnations of back ends at one address, one after the other, each with its own name."""

    def __init__(self, host: str) -> None:
        self.host = host
        self.name = ""
        """Empty while no back end runs at the address."""
        self.draining = False
        self.writes_entry = False
        """Whether it writes its entry to the store."""
        self._stopped_at = 0.0
        self._was_known_to_leave = False
        self.late_requests: list[LateRequest] = []
        """Requests to the address after nodes had time to learn that its back end left."""
        self._incarnation = 0
        self.listener = Listener(self, Address(host, 0))

    def start(self) -> None:
        """Start the next incarnation."""
        self._incarnation += 1
        self.draining = False
        self.writes_entry = True
        self.name = f"i-{self.host.rpartition('.')[2]}-{self._incarnation}"

    def stop(self, is_known: bool) -> None:
        """Stop the incarnation.

        With ``is_known``, readers have had time to read that its entry was removed. It must not get
        requests then, so its listener stays open to record any.
        """
        if not is_known:
            self.listener.close()
        self._stopped_at = time.monotonic()
        self._was_known_to_leave = is_known
        self.name = ""

    def entry(self) -> bytes:
        """Return the entry that the back end writes to the store."""
        return msgspec.json.encode(
            {
                "Service": SERVICE,
                "Address": str(self.listener.address),
                "Zone": ZONE,
                "Version": "v1",
                "State": "draining" if self.draining else "ready",
                "Slots": 8,
                "ColdRemaining": "0ms",
                "Sequence": self._incarnation,
                "born": 1000 + self._incarnation,
            }
        )

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle a request; record it if the back end was known to have left."""
        if scope["type"] != "http":
            return
        await read_body(receive)
        if scope["path"].startswith(PATH) and not self.name and self._was_known_to_leave:
            now = time.monotonic()
            caller = dict(scope["headers"]).get(CALLER_HEADER, b"").decode()
            request = LateRequest(self.host, now - self._stopped_at, caller.partition("/")[0])
            self.late_requests.append(request)
        await send_response(send, HttpResponse(200 if self.name else 503, b"done"))


class StoreEnvironment:
    """The store with its writers, which write again after an outage of the store."""

    def __init__(self, backends: list[Backend], seed: int) -> None:
        self.store = MetadataStore(0)
        self.listener = Listener(self.store.application, Address("127.0.0.1", 0))
        self.backends = backends
        self.version = 1
        self.edits: dict[int, float] = {}
        """When each version was acknowledged, in monotonic seconds."""
        self.restore_count = 0
        self.is_reachable = True
        self._reachable_since = 0.0
        self._copies: deque[StoreSnapshot] = deque(maxlen=MAX_COPIES)
        self._random = random.Random(f"writers:{seed}")
        self._operator_rewrite_at = 0.0

    async def open(self, tasks: anyio.abc.TaskGroup) -> None:
        """Write the first configuration and entries, and serve."""
        for backend in self.backends:
            await backend.listener.open(tasks)
            backend.start()
        self.edit()
        for backend in self.backends:
            self._write_entry(backend)
        await self.listener.open(tasks)
        tasks.start_soon(self._run_writers)
        tasks.start_soon(self._take_copies)

    def edit(self) -> None:
        """Write a newer configuration, unless the store is unreachable and acknowledges nothing."""
        if not self.is_reachable:
            return
        self.version += self._random.randint(1, 3)
        self._write_configuration()
        self.edits[self.version] = time.monotonic()

    def _write_configuration(self) -> None:
        services = [{"Name": SERVICE, "HealthPath": "/health", "ConnectionLimit": 100}]
        value = {
            "Version": f"r{self.version}",
            "Routes": [ROUTE],
            "Services": services,
            "Limits": LIMITS,
        }
        self.store.put("op/config", msgspec.json.encode(value))

    async def restore(self, tasks: anyio.abc.TaskGroup, outage_seconds: float, age: int) -> None:
        """Make the store unreachable, then restore a copy, the latest one if ``age`` is 0.

        Args:
            tasks: serves the store.
            outage_seconds: how long the store is unreachable.
            age: the number of copies made after the restored one; the oldest copy is used if there
                are fewer.
        """
        self.is_reachable = False
        self.listener.close()
        await anyio.sleep(outage_seconds)
        copies = list(self._copies)
        self.store.restore_from(copies[max(0, len(copies) - 1 - age)])
        self._copies.clear()
        self._copies.append(self.store.snapshot())
        self.restore_count += 1
        await self.listener.open(tasks)
        self.is_reachable = True
        self._reachable_since = time.monotonic()
        rewrite_delay = self._random.uniform(0.0, MAX_REWRITE_DELAY_SECONDS)
        self._operator_rewrite_at = time.monotonic() + rewrite_delay

    async def replace(
        self, tasks: anyio.abc.TaskGroup, backend: Backend, announces: bool, vacant_seconds: float
    ) -> None:
        """Replace a back end by another one at its address.

        Args:
            tasks: serves the successor.
            backend: the back end.
            announces: whether it reports that it leaves before its entry is removed.
            vacant_seconds: how long no back end runs at the address.
        """
        name = backend.name
        if announces:
            backend.draining = True
            self._write_entry(backend)
            await anyio.sleep(LEAVING_SECONDS)
        while not self.is_reachable:
            await anyio.sleep(HEARTBEAT_SECONDS)
        backend.writes_entry = False
        self.store.remove(ENTRY_PREFIX + name)
        restore_count, removed_at = self.restore_count, time.monotonic()
        was_read = removed_at - self._reachable_since >= READ_SECONDS
        await anyio.sleep(READ_SECONDS)
        is_known = was_read and self.is_reachable and restore_count == self.restore_count
        await anyio.sleep(LEAVING_SECONDS - READ_SECONDS)
        backend.stop(is_known)
        await anyio.sleep(vacant_seconds)
        if not backend.listener.is_open:
            await backend.listener.open(tasks)
        backend.start()
        self._write_entry(backend)

    def _write_entry(self, backend: Backend) -> None:
        if self.is_reachable and backend.writes_entry:
            self.store.put(ENTRY_PREFIX + backend.name, backend.entry())

    async def _run_writers(self) -> None:
        """Write the entries of back ends, remove lapsed ones, and repeat the operator's edit."""
        missed_heartbeats: Counter[str] = Counter()
        while True:
            await anyio.sleep(HEARTBEAT_SECONDS)
            if not self.is_reachable:
                continue
            if self._operator_rewrite_at and time.monotonic() >= self._operator_rewrite_at:
                self._operator_rewrite_at = 0.0
                self._write_configuration()
            for backend in self.backends:
                self._write_entry(backend)
            self._remove_lapsed(missed_heartbeats)

    def _remove_lapsed(self, missed_heartbeats: Counter[str]) -> None:
        writing_names = {backend.name for backend in self.backends if backend.writes_entry}
        for name in self.store.keys_below(ENTRY_PREFIX) - writing_names:
            missed_heartbeats[name] += 1
            if missed_heartbeats[name] >= MAX_MISSED_HEARTBEATS:
                del missed_heartbeats[name]
                self.store.remove(ENTRY_PREFIX + name)

    async def _take_copies(self) -> None:
        while True:
            if self.is_reachable:
                self._copies.append(self.store.snapshot())
            await anyio.sleep(COPY_INTERVAL_SECONDS)
