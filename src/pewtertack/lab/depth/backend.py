"""Simulated back ends that call the level below, and the faults of one level."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from random import Random

from pewtertack.lab.depth.requests import (
    BROKEN,
    LATE,
    OK_STATUS,
    SHED,
    SUCCESS,
    Cancellable,
    Level,
    Reply,
    ReplyHandler,
    TopRequest,
)
from pewtertack.lab.overload.virtual_backends import NETWORK_DELAY_SECONDS, VirtualTime
from pewtertack.routing.deadlines import deadline_of, format_deadline

WORK_SECONDS = 0.002
NO_TIMEOUT_SECONDS = float("inf")


class FaultKind(Enum):
    """Behavior of a faulty back end."""

    SHED = "shed"
    BREAK = "break"
    """Closes the connection after the request's work."""
    SLOW = "slow"


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault of a ``share`` of one level's attempts between two times, in seconds."""

    kind: FaultKind
    share: float
    begins_at: float
    ends_at: float
    slow_seconds: float = 0.0


@dataclass(slots=True)
class WorkTime:
    """Seconds of work at all levels. ``late`` is the part after the end of the top request."""

    total: float = 0.0
    late: float = 0.0

    def add(self, request: TopRequest, began_at: float, ended_at: float) -> None:
        """Add the work on a request from ``began_at`` until ``ended_at``, which is now."""
        self.total += ended_at - began_at
        if request.ended is not None:
            self.late += max(0.0, ended_at - max(began_at, request.ended))


@dataclass(frozen=True, slots=True)
class LevelContext:
    """Shared state and settings of the back ends of one level."""

    time: VirtualTime
    random: Random
    work_time: WorkTime
    below: Level | None
    fault: Fault | None
    forwards_retries_header: bool
    """Whether back ends pass on the ``x-retries`` of failures from the level below."""
    stops_on_cancel: bool
    """Whether back ends stop their work when the connection is closed."""

    def fault_now(self) -> Fault | None:
        """Return the fault of an attempt that arrives now, drawn by the fault's share."""
        fault = self.fault
        if fault is None or not fault.begins_at <= self.time.now < fault.ends_at:
            return None
        return fault if self.random.random() < fault.share else None


class BackendAttempt:
    """One attempt at a back end: its own work, then a nested call to the level below."""

    def __init__(
        self,
        context: LevelContext,
        request: TopRequest,
        deadline_header: str | None,
        on_reply: ReplyHandler,
    ) -> None:
        self._context = context
        self._request = request
        self._deadline_header = deadline_header
        self._on_reply = on_reply
        self._nested_call: Cancellable | None = None
        self._stopped = False
        self._work_started_at: float | None = None
        self._deadline = NO_TIMEOUT_SECONDS
        context.time.at(context.time.now + NETWORK_DELAY_SECONDS, self._arrive)

    def cancel(self) -> None:
        """Close the connection from the side of the node."""
        self._on_reply = _ignore_reply
        if self._context.stops_on_cancel:
            self._context.time.at(self._context.time.now + NETWORK_DELAY_SECONDS, self._stop)

    def _stop(self) -> None:
        if self._work_started_at is not None:
            self._record_work()
        self._stopped = True
        if self._nested_call is not None:
            self._nested_call.cancel()

    def _arrive(self) -> None:
        if self._stopped:
            return
        now = self._context.time.now
        self._deadline = deadline_of(now, self._deadline_header, NO_TIMEOUT_SECONDS)
        fault = self._context.fault_now()
        if fault is not None and fault.kind is FaultKind.SHED:
            self._fail(SHED)
            return
        seconds = WORK_SECONDS + (fault.slow_seconds if fault else 0.0)
        self._work_started_at = now
        finish: Callable[[], None] = self._call_below
        if fault is not None and fault.kind is FaultKind.BREAK:
            finish = self._break_exchange
        self._context.time.at(min(now + seconds, self._deadline), lambda: self._finish_work(finish))

    def _finish_work(self, then: Callable[[], None]) -> None:
        if self._stopped:
            return
        self._record_work()
        if self._context.time.now >= self._deadline:
            self._reply(LATE)
        else:
            then()

    def _record_work(self) -> None:
        assert self._work_started_at is not None
        self._context.work_time.add(self._request, self._work_started_at, self._context.time.now)
        self._work_started_at = None

    def _break_exchange(self) -> None:
        self._fail(BROKEN)

    def _fail(self, reply: Reply) -> None:
        self._request.failed_below_at = self._context.time.now
        self._reply(reply)

    def _call_below(self) -> None:
        below = self._context.below
        if below is None:
            self._reply(SUCCESS)
            return
        deadline_header = None
        if self._deadline_header is not None:
            deadline_header = format_deadline(self._context.time.now, self._deadline)
        self._nested_call = below.call(self._request, deadline_header, self._forward_reply)

    def _forward_reply(self, reply: Reply) -> None:
        """Return the reply of the level below, without ``x-retries`` if it is not passed on."""
        if self._stopped:
            return
        if reply.status != OK_STATUS and not self._context.forwards_retries_header:
            reply = Reply(reply.status, reply.outcome)
        self._reply(reply)

    def _reply(self, reply: Reply) -> None:
        self._stopped = True
        time = self._context.time
        time.at(time.now + NETWORK_DELAY_SECONDS, lambda: self._on_reply(reply))


def _ignore_reply(reply: Reply) -> None:
    """Ignore the reply: the caller has cancelled."""
