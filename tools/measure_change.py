"""Measure the cost of a large configuration change for one node, by part, in milliseconds.

Each operation by which a node receives or passes on a change runs as the event loop runs it, from
the received bytes until the new configuration is in use. The figures are the processor time of this
process, from the fastest of several runs.
"""

from __future__ import annotations

import base64
import functools
import gc
import sys
import time
from collections.abc import Callable
from random import Random
from typing import Any

import msgspec

from pewtertack.core import delta
from pewtertack.core.configuration import resolution, validation
from pewtertack.core.configuration.memory import ValidationCache
from pewtertack.core.effects import BringIntoForce, ContinueWork
from pewtertack.core.eras import tree_number
from pewtertack.core.identity import NodeIdentity
from pewtertack.core.inputs import DocumentRead, MessageReceived, Ticked, WorkContinued
from pewtertack.core.node import NodeCore
from pewtertack.core.profile import LEASED, SourceProperties
from pewtertack.core.replication import replica, service, store
from pewtertack.core.replication.pull_server import PullServer
from pewtertack.core.replication.store import DocumentStore
from pewtertack.core.revision import NO_REVISION
from pewtertack.node import collector
from pewtertack.node.proxy.application import ProxyApplication
from pewtertack.platform import items
from pewtertack.platform.documents import RouteCache, parse_configuration
from pewtertack.routing.dispatcher import Dispatcher
from pewtertack.wire.frames import Envelope, FrameReader, encode_frame
from pewtertack.wire.messages import DocumentKind, Message, Pull

RUNS = 5
SHOWN_ITERATIONS = 4
KEY = bytes(32)
ZONE = "zone-1"
OTHER_PART = "rest"


class PartTimer:
    """Processor time by part; time spent in a nested part counts for the nested part only."""

    def __init__(self) -> None:
        self.seconds: dict[str, float] = {}
        self.iterations: list[tuple[float, str]] = []
        """Seconds of each iteration of the event loop, and the part that took most of it."""
        self._iteration_seconds: dict[str, float] = {}
        self._active_parts: list[str] = []
        self._last_reading = 0.0

    def run(self, name: str, function: Callable[..., Any], *args: Any, **kwargs: Any) -> Any:
        """Call ``function`` and add its time to the part ``name``."""
        self.begin(name)
        try:
            return function(*args, **kwargs)
        finally:
            self.end()

    def begin(self, name: str) -> None:
        """Add time to the part ``name`` from now on."""
        self._add_elapsed()
        self._active_parts.append(name)

    def end(self) -> None:
        """End the current part and return to the one before it."""
        self._add_elapsed()
        self._active_parts.pop()

    def _add_elapsed(self) -> None:
        now = time.process_time()
        if self._active_parts:
            name = self._active_parts[-1]
            for seconds in (self.seconds, self._iteration_seconds):
                seconds[name] = seconds.get(name, 0.0) + now - self._last_reading
        self._last_reading = now

    def end_iteration(self) -> None:
        """Record the end of an iteration of the event loop."""
        self._add_elapsed()
        if self._iteration_seconds:
            longest = max(self._iteration_seconds, key=lambda name: self._iteration_seconds[name])
            self.iterations.append((sum(self._iteration_seconds.values()), longest))
        self._iteration_seconds = {}

    def clear(self) -> None:
        """Discard all recorded times."""
        self.seconds, self.iterations, self._iteration_seconds = {}, [], {}


TIMER = PartTimer()


def time_collector(phase: str, _: object) -> None:
    """Time the garbage collector separately from the part that it interrupts."""
    if phase == "start":
        TIMER.begin("collector")
    else:
        TIMER.end()


def time_separately(owner: Any, name: str) -> None:
    """Replace a function by one whose time is recorded as a part of its own name."""
    function = getattr(owner, name)

    @functools.wraps(function)
    def timed(*args: Any, **kwargs: Any) -> Any:
        return TIMER.run(name.strip("_"), function, *args, **kwargs)

    setattr(owner, name, timed)


def encode_configuration(routes: int, version: int) -> bytes:
    """Return an operator's configuration with ``routes`` routes, as the source stores it."""
    random = Random(1)
    services = [f"service-{number}" for number in range(12)]
    value = {
        "Version": str(version),
        "Routes": [
            {
                "Name": f"r-{random.getrandbits(40):x}",
                "Host": f"{random.getrandbits(30):x}.example",
                "PathPrefix": f"/{random.getrandbits(32):x}",
                "Kind": "safe",
                "Timeout": "1500ms",
                "TargetLatency": "400ms",
                "Priority": number % 4,
                "Service": random.choice(services),
                "MaxAttempts": 2,
            }
            for number in range(routes)
        ],
        "Services": [{"Name": name, "ConnectionLimit": 8} for name in services],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 1 << 20,
            "HeaderTimeout": "5s",
            "IdleTimeout": "60s",
        },
    }
    return msgspec.json.encode(value)


def event_of(value: bytes) -> bytes:
    """Return the event that the source sends for a new value."""
    text = base64.b64encode(value).decode()
    return msgspec.json.encode({"PrivateKey": "configuration", "Revision": 9, "Value": text})


class Node:
    """A node core and a proxy with the configuration that the core brings into force."""

    def __init__(self, name: str) -> None:
        self.identity = NodeIdentity(name, "192.0.2.1:7000", ZONE, "region", 1)
        source = SourceProperties(durable=True)
        self.core = NodeCore(self.identity, LEASED, Random(1), 0.0, (), source)
        self.proxy = ProxyApplication(lambda: 0.0, Random(1))
        self.reader = FrameReader(KEY)
        self.route_cache = RouteCache()
        self._now = 0.0
        self.feed(Ticked())

    def feed(self, event: Any) -> None:
        """Process one input and the work that follows from it, as the runtime of a node does."""
        work_pending = True
        while work_pending:
            effects = self.core.handle(self._now, event)
            for effect in effects:
                if isinstance(effect, BringIntoForce):
                    self.proxy.use_configuration(effect.configuration)
            work_pending = any(isinstance(effect, ContinueWork) for effect in effects)
            event = WorkContinued()
            TIMER.end_iteration()

    def read(self, event: bytes) -> None:
        """Process an event of the source."""
        item = items.parse_items((msgspec.Raw(event),))[0]
        value = item.content() or b""
        TIMER.end_iteration()
        version, tree = parse_configuration(value, (), self.route_cache)
        TIMER.end_iteration()
        self.feed(DocumentRead(DocumentKind.CONFIGURATION, tree_number(version), tree))

    def receive(self, frame: bytes) -> None:
        """Process a peer's response to a pull."""
        envelope = self.reader.read(frame)
        self.feed(MessageReceived("peer", envelope.address, 1, envelope.message))

    def answer(self, held: Any) -> Message:
        """Return the response to the pull of a peer that holds the revision ``held``."""
        server: PullServer = self.core.replication._pull_server  # noqa: SLF001 - it is measured
        message = server.answer(0.0, Pull(DocumentKind.CONFIGURATION, held))
        assert message is not None
        return message

    @property
    def in_force(self) -> int:
        """The number of the revision in force."""
        return self.core.replication.replica.in_force_number


def start_node(name: str, base: bytes) -> Node:
    """Return a node with the configuration ``base`` in force."""
    node = Node(name)
    node.read(event_of(base))
    machine = {"role": "backend", "zone": ZONE, "address": "192.0.2.1:80", "service": "service-1"}
    node.feed(DocumentRead(DocumentKind.MACHINE_LIST, 1, {"a": machine | {"state": "ready"}}))
    assert node.in_force, "the base configuration is not in force"
    return node


def frame_of(message: Message, counter: int) -> bytes:
    """Return the frame that carries a peer's ``message``."""
    return encode_frame(Envelope("peer", "192.0.2.2:7000", 1, counter, message), KEY)


def measure(operation: str, prepare: Callable[[], Callable[[], object]]) -> None:
    """Print the time of an operation in its fastest run, by part, and its longest iterations."""
    best_seconds: dict[str, float] = {}
    iterations: list[tuple[float, str]] = []
    for _ in range(RUNS):
        work = prepare()
        gc.collect()
        TIMER.clear()
        TIMER.run(OTHER_PART, work)
        TIMER.end_iteration()
        if not best_seconds or sum(TIMER.seconds.values()) < sum(best_seconds.values()):
            best_seconds, iterations = TIMER.seconds, sorted(TIMER.iterations, reverse=True)
    total_ms = sum(best_seconds.values()) * 1000
    sorted_parts = sorted(best_seconds.items(), key=lambda item: -item[1])
    parts = ", ".join(f"{name} {part * 1000:.1f}" for name, part in sorted_parts if part > 0.0005)
    print(f"{operation}: {total_ms:.1f} ms ({parts})")
    longest = ", ".join(
        f"{seconds * 1000:.1f} {part}" for seconds, part in iterations[:SHOWN_ITERATIONS]
    )
    print(f"    {len(iterations)} iterations, the longest: {longest}")


def measure_change(routes: int, added: int) -> None:
    """Measure a change that adds ``added`` routes to a configuration with ``routes`` routes."""
    base, value = encode_configuration(routes, 1), encode_configuration(routes + added, 2)
    print(f"{routes} routes, {added} more: {len(base)} and {len(value)} bytes")
    holder = start_node("holder", base)
    old_revision = holder.core.replication.replica.held
    event = event_of(value)
    holder.read(event)
    assert holder.in_force == tree_number(2), "the change was rejected"
    frames = [
        frame_of(holder.answer(held), 1 + held.number) for held in (old_revision, NO_REVISION)
    ]
    print(f"frames: {len(frames[0])} bytes for the change, {len(frames[1])} for the whole")
    measure("read", lambda: functools.partial(start_node("a", base).read, event))

    def prepare_answer(held: Any) -> Callable[[], object]:
        node = start_node("b", base)
        node.read(event)
        return lambda: frame_of(node.answer(held), 1)

    measure("respond with the change", lambda: prepare_answer(old_revision))
    measure("respond with the whole configuration", lambda: prepare_answer(NO_REVISION))
    measure("respond with the whole again", lambda: lambda: frame_of(holder.answer(NO_REVISION), 1))
    measure(
        "receive the change", lambda: functools.partial(start_node("c", base).receive, frames[0])
    )
    measure(
        "receive the whole configuration",
        lambda: functools.partial(start_node("d", base).receive, frames[1]),
    )


def main() -> None:
    """Measure a change of the size given on the command line, or of the default size."""
    for owner, name in (
        (items, "parse_items"),
        (items.StoreItem, "content"),
        (sys.modules[__name__], "parse_configuration"),
        (FrameReader, "read"),
        (sys.modules[__name__], "encode_frame"),
        (sys.modules["pewtertack.core.node"], "unpack"),
        (sys.modules["pewtertack.core.replication.pull_server"], "pack"),
        (replica, "revision_id_of"),
        (service, "revision_id_of"),
        (delta, "revision_id_of"),
        (store, "compare"),
        (store, "apply_edits"),
        (delta, "apply_edits"),
        (validation, "_has_no_conflicts"),
        (ValidationCache, "size_after_edit"),
        (ValidationCache, "store_edit"),
        (DocumentStore, "put"),
        (resolution, "ResolvedConfiguration"),
        (sys.modules["pewtertack.node.proxy.application"], "RouteTable"),
        (Dispatcher, "keep_only"),
        (ValidationCache, "store"),
    ):
        time_separately(owner, name)
    collector.resume()
    gc.callbacks.append(time_collector)
    sizes = [int(text) for text in sys.argv[1:]] or [3600, 1400]
    measure_change(*sizes)


if __name__ == "__main__":
    main()
