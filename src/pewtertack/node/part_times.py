"""Processor time of a node by activity, logged where ``log.parts_every`` is set.

Measured from ``start_node`` on; the start of the interpreter is not included. Each callback of the
event loop is timed under its own name, a task under its function's name. Some functions are counted
separately from the callback that calls them. This module is imported, and functions are replaced by
timed ones, only where the setting is set: other nodes have none of its cost. ``pewtertack lab
parts`` combines the records of all nodes.
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
POLL = "wait"
"""Polling the sockets. Where the clock goes on while a process waits, the wait is included."""
UNNAMED_TASK_PREFIX = "Task-"
"""Prefix of the names of tasks that were given none."""
ROUNDING_DIGITS = 6
CHANGES_SUFFIX = " with news"
"""Suffix of the name of a heartbeat that carries a version or a machine list."""
EVENT_PREFIX = "event "
"""Prefix of the name of a log event, for which only a count is kept."""


class PartTimes:
    """Processor seconds of the process by name, and how often each name was entered.

    Args:
        started_at: when the start began, by ``clock``.
        clock: processor time in seconds.
    """

    def __init__(self, started_at: float, clock: Callable[[], float] = time.process_time) -> None:
        self.seconds: dict[str, float] = {}
        self.counts: Counter[str] = Counter()
        self._clock = clock
        self._names = [START]
        self._since = started_at
        self.counts[START] = 1

    def end_start(self) -> None:
        """End the start: time not counted otherwise belongs to the event loop from now on."""
        self._add_elapsed()
        self._names[0] = LOOP

    def _add_elapsed(self) -> None:
        now, name = self._clock(), self._names[-1]
        self.seconds[name] = self.seconds.get(name, 0.0) + now - self._since
        self._since = now

    def run(self, name: str, function: Callable[..., Any], *args: Any, **kwargs: Any) -> Any:
        """Call ``function``; its time counts under ``name`` only."""
        self._add_elapsed()
        self._names.append(name)
        self.counts[name] += 1
        try:
            return function(*args, **kwargs)
        finally:
            self._add_elapsed()
            self._names.pop()

    def record(self, log: EventLog) -> None:
        """Log everything counted so far."""
        self._add_elapsed()
        seconds = {name: round(value, ROUNDING_DIGITS) for name, value in self.seconds.items()}
        log.record(Event.NODE_PARTS, seconds=seconds, counts=dict(self.counts))


class TimedLoop(BoottimeEventLoop):
    """A node's event loop that times each callback."""

    def __init__(self, times: PartTimes) -> None:
        super().__init__()
        self._times = times
        selector: Any = self._selector  # type: ignore[attr-defined]
        selector.select = functools.partial(times.run, POLL, selector.select)

    def _run_timed(self, callback: Callable[..., Any], *args: Any) -> None:
        self._times.run(_callback_name(callback), callback, *args)

    def call_soon(  # type: ignore[override]
        self, callback: Callable[..., Any], *args: Any, context: Context | None = None
    ) -> asyncio.Handle:
        """Run a callback in the next iteration, timed."""
        return super().call_soon(self._run_timed, callback, *args, context=context)

    def call_at(  # type: ignore[override]
        self, when: float, callback: Callable[..., Any], *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        """Run a callback at a point in time, timed."""
        return super().call_at(when, self._run_timed, callback, *args, context=context)

    def add_reader(  # type: ignore[override]
        self, fd: Any, callback: Callable[..., Any], *args: Any
    ) -> None:
        """Run a callback whenever a file descriptor is readable, timed."""
        super().add_reader(fd, self._run_timed, callback, *args)

    def add_writer(  # type: ignore[override]
        self, fd: Any, callback: Callable[..., Any], *args: Any
    ) -> None:
        """Run a callback whenever a file descriptor is writable, timed."""
        super().add_writer(fd, self._run_timed, callback, *args)


def _callback_name(callback: Callable[..., Any]) -> str:
    """Return a callback's name; a task's name is the one anyio gives it, that of its function."""
    owner: Any = getattr(callback, "__self__", None)
    if not isinstance(owner, asyncio.Task):
        return str(getattr(callback, "__qualname__", type(callback).__name__))
    name = owner.get_name()
    if not name.startswith(UNNAMED_TASK_PREFIX):
        return name
    coroutine: Any = owner.get_coro()
    return str(coroutine.__qualname__)


def time_functions(times: PartTimes) -> None:
    """Replace the functions that are counted separately by timed ones, in this process."""
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
        message = event.message if isinstance(event, MessageReceived) else event
        suffix = CHANGES_SUFFIX if isinstance(message, ReaderHeartbeat) and message.deltas else ""
        times.run(f"Runtime.feed {type(message).__name__}{suffix}", feed, self, event)

    _replace(EventLog, "record", timed_record)
    _replace(Runtime, "feed", timed_feed)


def _replace(owner: type, method: str, timed_function: Callable[..., Any]) -> None:
    setattr(owner, method, lambda *args, **kwargs: timed_function(*args, **kwargs))


def record_every(seconds: float, times: PartTimes, log: EventLog) -> None:
    """Log the times now and then every ``seconds``, while the event loop runs."""
    times.record(log)
    loop = asyncio.get_running_loop()
    loop.call_later(seconds, record_every, seconds, times, log)
