"""The store that comes back from copies, and the back ends and the operator that write to it."""

from __future__ import annotations

import random
import time
from collections import Counter, deque
from typing import NamedTuple

import anyio
import anyio.abc
import msgspec

from pewtertack.lab.asgi import Receive, Scope, Send, read_body, send_response
from pewtertack.lab.asgi import Response as HttpAnswer
from pewtertack.lab.metadata_store.application import MetadataStore, StoreSnapshot
from pewtertack.lab.serving import Listener
from pewtertack.settings import Address

HEARTBEAT_SECONDS = 0.5
COPY_SECONDS = 0.25
COPIES_KEPT = 12
OPERATOR_AGAIN_SECONDS = 1.0
"""The longest after a return until the operator has written its newest again."""
SERVE_ON_SECONDS = 2.5
"""For how long a back end runs requests after its entry has gone."""
SEEN_SECONDS = 1.0
"""After this long readers of a store that answers have seen a change."""
LAPSED_HEARTBEATS = 3
ENTRIES = "servers/"
CALLER_HEADER = b"x-request-id"
"""Begins with the node whose caller made the request."""
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
    """What was asked of an address whose back end had ended. Monotonic seconds."""

    host: str
    at: float
    after: float
    """Since the end."""
    node: str
    """Whose caller asked."""

    def __str__(self) -> str:
        """Return it for operators."""
        return f"{self.host}: asked by {self.node} {self.after:.2f} s after its end"


class Backend:
    """What runs at one address; one life after the other, each under a name of its own."""

    def __init__(self, host: str) -> None:
        self.host = host
        self.name = ""
        """Empty while nobody lives at the address."""
        self.draining = False
        self.writes = False
        """Whether it keeps its entry in the store."""
        self._left_at = 0.0
        self._is_known = False
        self.late_requests: list[LateRequest] = []
        """What was asked of an address whose back end was known to have left."""
        self._lives = 0
        self.listener = Listener(self, Address(host, 0))

    def begin(self) -> None:
        """Begin a life."""
        self._lives += 1
        self.draining = False
        self.writes = True
        self.name = f"i-{self.host.rpartition('.')[2]}-{self._lives}"

    def end(self, is_known: bool) -> None:
        """End the life; ``is_known`` tells that readers had the time to see its entry go.

        One that was known to have left is to be asked nothing, so its address goes on noting it.
        """
        if not is_known:
            self.listener.close()
        self._left_at = time.monotonic()
        self._is_known = is_known
        self.name = ""

    def entry(self) -> bytes:
        """Return what the back end writes of itself."""
        return msgspec.json.encode(
            {
                "Service": SERVICE,
                "Address": str(self.listener.address),
                "Zone": ZONE,
                "Version": "v1",
                "State": "draining" if self.draining else "ready",
                "Slots": 8,
                "ColdRemaining": "0ms",
                "Sequence": self._lives,
                "born": 1000 + self._lives,
            }
        )

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer a request; one that comes when nobody lives here is noted."""
        if scope["type"] != "http":
            return
        await read_body(receive)
        if scope["path"].startswith(PATH) and not self.name and self._is_known:
            now = time.monotonic()
            caller = dict(scope["headers"]).get(CALLER_HEADER, b"").decode()
            asked = LateRequest(self.host, now, now - self._left_at, caller.partition("/")[0])
            self.late_requests.append(asked)
        await send_response(send, HttpAnswer(200 if self.name else 503, b"done"))


class StoreEnvironment:
    """The store with all who write to it. Writers that reach no store write again."""

    def __init__(self, backends: list[Backend], seed: int) -> None:
        self.store = MetadataStore(0)
        self.listener = Listener(self.store.application, Address("127.0.0.1", 0))
        self.backends = backends
        self.version = 1
        self.edits: dict[int, float] = {}
        """When each version was acknowledged; monotonic seconds."""
        self.returns = 0
        self.is_up = True
        self._up_since = 0.0
        self._copies: deque[StoreSnapshot] = deque(maxlen=COPIES_KEPT)
        self._random = random.Random(f"writers:{seed}")
        self._operator_writes_at = 0.0

    async def open(self, tasks: anyio.abc.TaskGroup) -> None:
        """Write all for the first time and serve."""
        for backend in self.backends:
            await backend.listener.open(tasks)
            backend.begin()
        self.edit()
        for backend in self.backends:
            self._put(backend)
        await self.listener.open(tasks)
        tasks.start_soon(self._beat)
        tasks.start_soon(self._take_copies)

    def edit(self) -> None:
        """Write a newer configuration; nothing is acknowledged while the store is away."""
        if not self.is_up:
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

    async def restore(self, tasks: anyio.abc.TaskGroup, away: float, age: int) -> None:
        """Be away for ``away`` seconds, then come back from the copy before ``age`` others."""
        self.is_up = False
        self.listener.close()
        await anyio.sleep(away)
        copies = list(self._copies)
        self.store.restore_from(copies[max(0, len(copies) - 1 - age)])
        self._copies.clear()
        self._copies.append(self.store.snapshot())
        self.returns += 1
        await self.listener.open(tasks)
        self.is_up = True
        self._up_since = time.monotonic()
        again = self._random.uniform(0.0, OPERATOR_AGAIN_SECONDS)
        self._operator_writes_at = time.monotonic() + again

    async def replace(
        self, tasks: anyio.abc.TaskGroup, backend: Backend, says_so: bool, empty: float
    ) -> None:
        """Let a back end leave, by its word or by its entry alone, and another follow it."""
        name = backend.name
        if says_so:
            backend.draining = True
            self._put(backend)
            await anyio.sleep(SERVE_ON_SECONDS)
        while not self.is_up:
            await anyio.sleep(HEARTBEAT_SECONDS)
        backend.writes = False
        self.store.remove(ENTRIES + name)
        returns, removed_at = self.returns, time.monotonic()
        was_read = removed_at - self._up_since >= SEEN_SECONDS
        await anyio.sleep(SEEN_SECONDS)
        is_known = was_read and self.is_up and returns == self.returns
        await anyio.sleep(SERVE_ON_SECONDS - SEEN_SECONDS)
        backend.end(is_known)
        await anyio.sleep(empty)
        if not backend.listener.is_open:
            await backend.listener.open(tasks)
        backend.begin()
        self._put(backend)

    def _put(self, backend: Backend) -> None:
        if self.is_up and backend.writes:
            self.store.put(ENTRIES + backend.name, backend.entry())

    async def _beat(self) -> None:
        """Back ends write themselves; what has lapsed is removed; the operator writes again."""
        silent: Counter[str] = Counter()
        while True:
            await anyio.sleep(HEARTBEAT_SECONDS)
            if not self.is_up:
                continue
            if self._operator_writes_at and time.monotonic() >= self._operator_writes_at:
                self._operator_writes_at = 0.0
                self._write_configuration()
            for backend in self.backends:
                self._put(backend)
            self._remove_lapsed(silent)

    def _remove_lapsed(self, silent: Counter[str]) -> None:
        writing = {backend.name for backend in self.backends if backend.writes}
        for name in self.store.keys_below(ENTRIES) - writing:
            silent[name] += 1
            if silent[name] >= LAPSED_HEARTBEATS:
                del silent[name]
                self.store.remove(ENTRIES + name)

    async def _take_copies(self) -> None:
        while True:
            if self.is_up:
                self._copies.append(self.store.snapshot())
            await anyio.sleep(COPY_SECONDS)
