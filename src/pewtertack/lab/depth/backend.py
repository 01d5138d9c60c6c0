"""Simulated back ends that call the next level, and the faults of one level."""

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
    Answer,
    Cancellable,
    Level,
    Reply,
    TopRequest,
)
from pewtertack.lab.overload.virtual_backends import NETWORK_DELAY, VirtualTime
from pewtertack.routing.deadlines import deadline_of, format_deadline

WORK_SECONDS = 0.002
NO_TIMEOUT = float("inf")


class FaultKind(Enum):
    """What a faulty back end does."""

    SHED = "shed"
    BREAK = "break"
    """It closes the connection after the request's work."""
    SLOW = "slow"


@dataclass(frozen=True, slots=True)
class Fault:
    """A share of one level's attempts fails from ``begins`` until ``ends`` (seconds)."""

    kind: FaultKind
    share: float
    begins: float
    ends: float
    slow_seconds: float = 0.0


@dataclass(slots=True)
class WorkMeter:
    """Seconds of work at all levels; ``late``: after the top caller had its answer or left."""

    total: float = 0.0
    late: float = 0.0

    def note(self, request: TopRequest, began: float, ended: float) -> None:
        """Count work on a request between two times, the second one being now."""
        self.total += ended - began
        if request.ended is not None:
            self.late += max(0.0, ended - max(began, request.ended))


@dataclass(frozen=True, slots=True)
class BackendWorld:
    """What the back ends of one level share."""

    time: VirtualTime
    random: Random
    meter: WorkMeter
    below: Level | None
    fault: Fault | None
    hands_on_mark: bool
    """Whether a failure from below keeps its ``x-retries``."""
    notices_cancel: bool
    """Whether work ends with the connection."""

    def fault_now(self) -> Fault | None:
        """Return the fault that strikes an attempt which arrives now."""
        fault = self.fault
        if fault is None or not fault.begins <= self.time.now < fault.ends:
            return None
        return fault if self.random.random() < fault.share else None


class BackendRun:
    """One attempt at a back end: its own work, then a call to the level below."""

    def __init__(
        self, world: BackendWorld, request: TopRequest, header: str | None, answer: Answer
    ) -> None:
        self._world = world
        self._request = request
        self._header = header
        self._answer = answer
        self._below: Cancellable | None = None
        self._stopped = False
        self._working_since: float | None = None
        self._deadline = NO_TIMEOUT
        world.time.at(world.time.now + NETWORK_DELAY, self._arrive)

    def cancel(self) -> None:
        """Close the connection from the node's side."""
        self._answer = _drop
        if self._world.notices_cancel:
            self._world.time.at(self._world.time.now + NETWORK_DELAY, self._stop)

    def _stop(self) -> None:
        if self._working_since is not None:
            self._end_work()
        self._stopped = True
        if self._below is not None:
            self._below.cancel()

    def _arrive(self) -> None:
        if self._stopped:
            return
        now = self._world.time.now
        self._deadline = deadline_of(now, self._header, NO_TIMEOUT)
        fault = self._world.fault_now()
        if fault is not None and fault.kind is FaultKind.SHED:
            self._fail(SHED)
            return
        seconds = WORK_SECONDS + (fault.slow_seconds if fault else 0.0)
        self._working_since = now
        finish: Callable[[], None] = self._call_below
        if fault is not None and fault.kind is FaultKind.BREAK:
            finish = self._break
        self._world.time.at(min(now + seconds, self._deadline), lambda: self._worked(finish))

    def _worked(self, then: Callable[[], None]) -> None:
        if self._stopped:
            return
        self._end_work()
        if self._world.time.now >= self._deadline:
            self._reply(LATE)
        else:
            then()

    def _end_work(self) -> None:
        assert self._working_since is not None
        self._world.meter.note(self._request, self._working_since, self._world.time.now)
        self._working_since = None

    def _break(self) -> None:
        self._fail(BROKEN)

    def _fail(self, reply: Reply) -> None:
        self._request.failed_below_at = self._world.time.now
        self._reply(reply)

    def _call_below(self) -> None:
        below = self._world.below
        if below is None:
            self._reply(SUCCESS)
            return
        header = None
        if self._header is not None:
            header = format_deadline(self._world.time.now, self._deadline)
        self._below = below.call(self._request, header, self._pass_on)

    def _pass_on(self, reply: Reply) -> None:
        """Answer as the level below did: the own work was only a part of the request."""
        if self._stopped:
            return
        if reply.status != OK_STATUS and not self._world.hands_on_mark:
            reply = Reply(reply.status, reply.outcome)
        self._reply(reply)

    def _reply(self, reply: Reply) -> None:
        self._stopped = True
        time = self._world.time
        time.at(time.now + NETWORK_DELAY, lambda: self._answer(reply))


def _drop(reply: Reply) -> None:
    """The caller has gone."""
