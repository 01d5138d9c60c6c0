"""Processor time of a node by what it is spent for, where ``log.parts_every`` asks for it.

From ``start_node`` on: the interpreter's own start is not in it. Each callback of the event loop is
timed under its own name, a task under its function's. Within them some functions count apart: what
they take is not their callback's. Loaded, and functions replaced by timed ones, only where asked
for: a node without it has none of its cost. ``pewtertack lab parts`` puts all nodes' together.
"""

from __future__ import annotations

import asyncio
import functools
import time
from collections import Counter
from collections.abc import Callable
from contextvars import Context
from typing import Any

from pewtertack.core.inputs import MessageReceived
from pewtertack.events import Event
from pewtertack.log import EventLog
from pewtertack.node.event_loop import BoottimeEventLoop
from pewtertack.node.gateway.application import GatewayApplication
from pewtertack.node.http.transport import StreamTransport
from pewtertack.node.proxy.application import ProxyApplication
from pewtertack.node.runtime import Runtime
from pewtertack.node.transport import PeerTransport
from pewtertack.wire.messages import ReaderHeartbeat

START = "start"
LOOP = "loop"
WAIT = "wait"
"""The looks at the sockets. Where the clock goes on while a process waits, its rest as well."""
UNNAMED = "Task-"
"""So the names of tasks begin to which none was given."""
DIGITS = 6
WITH_NEWS = " with news"
"""Behind the name of a heartbeat that brings a version or a list."""
EVENT_PREFIX = "event "
"""Before the name of an event of the log, of which there is a count alone."""


class PartTimes:
    """Seconds of the process's processor time by name, and how many times each began.

    Args:
        began: when the start began, by ``clock``.
        clock: processor time in seconds.
    """

    def __init__(self, began: float, clock: Callable[[], float] = time.process_time) -> None:
        self.seconds: dict[str, float] = {}
        self.counts: Counter[str] = Counter()
        self._clock = clock
        self._names = [START]
        self._since = began
        self.counts[START] = 1

    def end_start(self) -> None:
        """The loop begins: what is not counted otherwise is its own from now on."""
        self._note()
        self._names[0] = LOOP

    def _note(self) -> None:
        now, name = self._clock(), self._names[-1]
        self.seconds[name] = self.seconds.get(name, 0.0) + now - self._since
        self._since = now

    def run(self, name: str, function: Callable[..., Any], *args: Any, **named: Any) -> Any:
        """Call ``function``; what it takes counts under ``name`` alone."""
        self._note()
        self._names.append(name)
        self.counts[name] += 1
        try:
            return function(*args, **named)
        finally:
            self._note()
            self._names.pop()

    def record(self, log: EventLog) -> None:
        """Log all that was counted so far."""
        self._note()
        seconds = {name: round(value, DIGITS) for name, value in self.seconds.items()}
        log.record(Event.NODE_PARTS, seconds=seconds, counts=dict(self.counts))


class TimedLoop(BoottimeEventLoop):
    """A node's event loop that times each callback."""

    def __init__(self, times: PartTimes) -> None:
        super().__init__()
        self._times = times
        selector: Any = self._selector  # type: ignore[attr-defined]
        selector.select = functools.partial(times.run, WAIT, selector.select)

    def _run_timed(self, callback: Callable[..., Any], *args: Any) -> None:
        self._times.run(_name_of(callback), callback, *args)

    def call_soon(  # type: ignore[override]
        self, callback: Callable[..., Any], *args: Any, context: Context | None = None
    ) -> asyncio.Handle:
        """Run a callback in the next round, timed."""
        return super().call_soon(self._run_timed, callback, *args, context=context)

    def call_at(  # type: ignore[override]
        self, when: float, callback: Callable[..., Any], *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        """Run a callback at a moment, timed."""
        return super().call_at(when, self._run_timed, callback, *args, context=context)

    def add_reader(  # type: ignore[override]
        self, fd: Any, callback: Callable[..., Any], *args: Any
    ) -> None:
        """Run a callback whenever a descriptor is readable, timed."""
        super().add_reader(fd, self._run_timed, callback, *args)

    def add_writer(  # type: ignore[override]
        self, fd: Any, callback: Callable[..., Any], *args: Any
    ) -> None:
        """Run a callback whenever a descriptor is writable, timed."""
        super().add_writer(fd, self._run_timed, callback, *args)


def _name_of(callback: Callable[..., Any]) -> str:
    """Return a callback's name; a task's is anyio's for it, the function's that was started."""
    owner: Any = getattr(callback, "__self__", None)
    if not isinstance(owner, asyncio.Task):
        return str(getattr(callback, "__qualname__", type(callback).__name__))
    name = owner.get_name()
    if not name.startswith(UNNAMED):
        return name
    coroutine: Any = owner.get_coro()
    return str(coroutine.__qualname__)


def time_functions(times: PartTimes) -> None:
    """Have the functions that count apart timed, in this process."""
    for owner, method in (
        (ProxyApplication, "use_configuration"),
        (ProxyApplication, "use_machines"),
        (GatewayApplication, "use_configuration"),
        (GatewayApplication, "use_machines"),
        (PeerTransport, "send"),
        (StreamTransport, "__init__"),
        (StreamTransport, "_call_connection_lost"),
    ):
        function = getattr(owner, method)
        _replace(owner, method, functools.partial(times.run, function.__qualname__, function))
    record, feed = EventLog.record, Runtime.feed

    def timed_record(self: EventLog, event: Event, **fields: Any) -> None:
        times.counts[EVENT_PREFIX + event.name] += 1
        times.run("EventLog.record", record, self, event, **fields)

    def timed_feed(self: Runtime, event: Any) -> None:
        told = event.message if isinstance(event, MessageReceived) else event
        news = WITH_NEWS if isinstance(told, ReaderHeartbeat) and told.deltas else ""
        times.run(f"Runtime.feed {type(told).__name__}{news}", feed, self, event)

    _replace(EventLog, "record", timed_record)
    _replace(Runtime, "feed", timed_feed)


def _replace(owner: type, method: str, timed: Callable[..., Any]) -> None:
    setattr(owner, method, lambda *args, **named: timed(*args, **named))


def record_every(seconds: float, times: PartTimes, log: EventLog) -> None:
    """Log what was counted now and after each so many seconds, while the loop runs."""
    times.record(log)
    loop = asyncio.get_running_loop()
    loop.call_later(seconds, record_every, seconds, times, log)
