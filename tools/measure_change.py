"""Measure what a large change of the configuration costs one node, by part, in milliseconds.

Each way that a change takes is run as the event loop runs it, from the bytes that have arrived to
the swap. Processor time of this process, of the run of several that took least.
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
LONGEST_SHOWN = 4
KEY = bytes(32)
ZONE = "zone-1"
REST = "rest"


class Parts:
    """Processor time by part; what a part calls counts for the part called."""

    def __init__(self) -> None:
        self.seconds: dict[str, float] = {}
        self.turns: list[tuple[float, str]] = []
        """Seconds of each turn of the event loop, with the part that took most of it."""
        self._of_turn: dict[str, float] = {}
        self._open: list[str] = []
        self._since = 0.0

    def run(self, name: str, function: Callable[..., Any], *args: Any, **named: Any) -> Any:
        """Call ``function`` and count its time under ``name``."""
        self.begin(name)
        try:
            return function(*args, **named)
        finally:
            self.end()

    def begin(self, name: str) -> None:
        """Count under ``name`` from now on."""
        self._note()
        self._open.append(name)

    def end(self) -> None:
        """Count again under the name before."""
        self._note()
        self._open.pop()

    def _note(self) -> None:
        now = time.process_time()
        if self._open:
            name = self._open[-1]
            for seconds in (self.seconds, self._of_turn):
                seconds[name] = seconds.get(name, 0.0) + now - self._since
        self._since = now

    def note_turn(self) -> None:
        """A turn of the event loop ends."""
        self._note()
        if self._of_turn:
            longest = max(self._of_turn, key=lambda name: self._of_turn[name])
            self.turns.append((sum(self._of_turn.values()), longest))
        self._of_turn = {}

    def clear(self) -> None:
        """Begin anew."""
        self.seconds, self.turns, self._of_turn = {}, [], {}


PARTS = Parts()


def count_collector(phase: str, _: object) -> None:
    """Count the garbage collector apart from what it interrupts."""
    if phase == "start":
        PARTS.begin("collector")
    else:
        PARTS.end()


def count_apart(owner: Any, name: str) -> None:
    """Replace a function by one whose time counts under its own name."""
    function = getattr(owner, name)

    @functools.wraps(function)
    def counted(*args: Any, **named: Any) -> Any:
        return PARTS.run(name.strip("_"), function, *args, **named)

    setattr(owner, name, counted)


def configuration(routes: int, version: int) -> bytes:
    """Return an operator's configuration of so many routes, as the source keeps it."""
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
    """Return the event that the source sends of a new value."""
    text = base64.b64encode(value).decode()
    return msgspec.json.encode({"PrivateKey": "configuration", "Revision": 9, "Value": text})


class Node:
    """A core and a proxy that serve by one configuration."""

    def __init__(self, name: str) -> None:
        self.identity = NodeIdentity(name, "192.0.2.1:7000", ZONE, "region", 1)
        source = SourceProperties(durable=True)
        self.core = NodeCore(self.identity, LEASED, Random(1), 0.0, (), source)
        self.proxy = ProxyApplication(lambda: 0.0, Random(1))
        self.reader = FrameReader(KEY)
        self.known = RouteCache()
        self._now = 0.0
        self.feed(Ticked())

    def feed(self, event: Any) -> None:
        """Give the core one input and the proxy what is to be in force, until all work is done."""
        goes_on = True
        while goes_on:
            effects = self.core.handle(self._now, event)
            for effect in effects:
                if isinstance(effect, BringIntoForce):
                    self.proxy.use_configuration(effect.configuration)
            goes_on = any(isinstance(effect, ContinueWork) for effect in effects)
            event = WorkContinued()
            PARTS.note_turn()

    def read(self, event: bytes) -> None:
        """Take in the source's event."""
        item = items.parse_items((msgspec.Raw(event),))[0]
        value = item.content() or b""
        PARTS.note_turn()
        version, tree = parse_configuration(value, (), self.known)
        PARTS.note_turn()
        self.feed(DocumentRead(DocumentKind.CONFIGURATION, tree_number(version), tree))

    def receive(self, frame: bytes) -> None:
        """Take in a peer's answer to a pull."""
        envelope = self.reader.read(frame)
        self.feed(MessageReceived("peer", envelope.address, 1, envelope.message))

    def answer(self, have: Any) -> Message:
        """Return the answer to a peer that holds ``have``."""
        server: PullServer = self.core.replication._pull_server  # noqa: SLF001 - its time is asked for
        found = server.answer(0.0, Pull(DocumentKind.CONFIGURATION, have))
        assert found is not None
        return found

    @property
    def in_force(self) -> int:
        """The number of the revision by which the proxy serves."""
        return self.core.replication.replica.in_force_number


def started(name: str, base: bytes) -> Node:
    """Return a node that serves by ``base``."""
    node = Node(name)
    node.read(event_of(base))
    machine = {"role": "backend", "zone": ZONE, "address": "192.0.2.1:80", "service": "service-1"}
    node.feed(DocumentRead(DocumentKind.MACHINE_LIST, 1, {"a": machine | {"state": "ready"}}))
    assert node.in_force, "the base is not in force"
    return node


def frame_of(message: Message, counter: int) -> bytes:
    """Return the frame of a peer's message."""
    return encode_frame(Envelope("peer", "192.0.2.2:7000", 1, counter, message), KEY)


def measure(way: str, prepare: Callable[[], Callable[[], object]]) -> None:
    """Print the least time of a way's turn, and of its parts in the same run."""
    best: dict[str, float] = {}
    turns: list[tuple[float, str]] = []
    for _ in range(RUNS):
        work = prepare()
        gc.collect()
        PARTS.clear()
        PARTS.run(REST, work)
        PARTS.note_turn()
        if not best or sum(PARTS.seconds.values()) < sum(best.values()):
            best, turns = PARTS.seconds, sorted(PARTS.turns, reverse=True)
    total = sum(best.values()) * 1000
    shown = sorted(best.items(), key=lambda item: -item[1])
    parts = ", ".join(f"{name} {part * 1000:.1f}" for name, part in shown if part > 0.0005)
    print(f"{way}: {total:.1f} ms ({parts})")
    longest = ", ".join(f"{seconds * 1000:.1f} {part}" for seconds, part in turns[:LONGEST_SHOWN])
    print(f"    {len(turns)} turns, the longest: {longest}")


def measure_change(routes: int, added: int) -> None:
    """Measure a change of ``added`` routes to a configuration of ``routes``."""
    base, value = configuration(routes, 1), configuration(routes + added, 2)
    print(f"{routes} routes, {added} more: {len(base)} and {len(value)} bytes")
    holder = started("holder", base)
    old = holder.core.replication.replica.held
    event = event_of(value)
    holder.read(event)
    assert holder.in_force == tree_number(2), "the change was refused"
    frames = [frame_of(holder.answer(have), 1 + have.number) for have in (old, NO_REVISION)]
    print(f"frames: {len(frames[0])} bytes of the change, {len(frames[1])} of the whole")
    measure("read", lambda: functools.partial(started("a", base).read, event))

    def packing(have: Any) -> Callable[[], object]:
        fresh = started("b", base)
        fresh.read(event)
        return lambda: frame_of(fresh.answer(have), 1)

    measure("answer with the change", lambda: packing(old))
    measure("answer with the whole", lambda: packing(NO_REVISION))
    measure("the same answer again", lambda: lambda: frame_of(holder.answer(NO_REVISION), 1))
    measure("take the change", lambda: functools.partial(started("c", base).receive, frames[0]))
    measure("take the whole", lambda: functools.partial(started("d", base).receive, frames[1]))


def main() -> None:
    """Measure changes of the size given, or of the usual sizes."""
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
        count_apart(owner, name)
    collector.resume()
    gc.callbacks.append(count_collector)
    sizes = [int(text) for text in sys.argv[1:]] or [3600, 1400]
    measure_change(*sizes)


if __name__ == "__main__":
    main()
