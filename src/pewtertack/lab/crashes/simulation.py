"""One request ends the back ends of a service again and again, others ask for theirs beside it."""

from __future__ import annotations

import math
from collections.abc import Callable
from random import Random

import msgspec

from pewtertack.core.configuration.resolved import DEFAULT_CRASH_LIMIT
from pewtertack.core.crashes.fingerprint import fingerprint_of, head_digest
from pewtertack.lab.crashes.fleet import CrashFleet
from pewtertack.lab.errors import LabUsageError
from pewtertack.lab.simulation.scheduler import Scheduler

NOTICE_SECONDS = 0.001
"""From a back end's end to its gateway's verdict."""
REPORT_SECONDS = 0.01
"""From the first broken exchange to the report (``node.crash_watch``)."""
REDIRECTS = 3
"""Back ends that may turn out to be away before a request is refused."""
GRACE_SECONDS = 3.0
"""After the third end, callers' attempts may be under way for so long."""


class CrashSettings(msgspec.Struct, frozen=True):
    """What happens. Times in seconds, rates a second."""

    nodes: int = 12
    """Each has a back end of the service beside it."""
    seconds: float = 20.0
    repeat: float = 0.2
    """Between two sends of the request that ends back ends, at nodes drawn at random."""
    burst: int = 1
    """So many of it at once."""
    run: float = 0.05
    """From the moment at which a back end begins it to the back end's end."""
    away: float = 3.0
    rate: float = 5.0
    """Ordinary requests, for each back end."""
    work: float = 0.1
    popular: float = 0.2
    """Share of the ordinary requests that are one and the same."""
    loss: float = 0.02
    ledger: bool = True

    def check(self) -> None:
        """Accept the shape.

        Raises:
            LabUsageError: a value makes no sense.
        """
        positive = (self.seconds, self.repeat, self.run, self.away, self.rate, self.work)
        if not all(math.isfinite(value) and value > 0 for value in positive):
            raise LabUsageError("times and rates must be above 0")
        if self.nodes < 2 or self.burst < 1:
            raise LabUsageError("at least 2 nodes and a burst of 1 are needed")
        if not (0 <= self.loss < 1 and 0 <= self.popular <= 1):
            raise LabUsageError("shares lie between 0 and 1")


class Second(msgspec.Struct):
    """One second of a simulation."""

    ends: int = 0
    ordinary: int = 0
    served: int = 0


class CrashResult(msgspec.Struct, frozen=True):
    """What came of it."""

    shape: CrashSettings
    seed: int
    ends: int
    late_ends: int
    """Ends later than ``GRACE_SECONDS`` after the third."""
    known_after: float | None
    """Milliseconds from the third end to the moment at which the last node knew of it."""
    bytes_per_end: float
    """Bytes that a node sent for an end, regular reports included."""
    ordinary: int
    served: float
    """Share of the ordinary requests."""
    refused_wrongly: int
    """Ordinary requests refused as if they ended back ends."""
    by_second: list[Second]


class _Backend:
    __slots__ = ("number", "running", "up")

    def __init__(self, number: int) -> None:
        self.number = number
        self.up = True
        self.running: list[_Request] = []


class _Request:
    __slots__ = ("began", "ends_backends", "fingerprint", "known_ends", "node", "retried")

    def __init__(self, node: int, fingerprint: bytes, ends_backends: bool, began: float) -> None:
        self.node = node
        self.fingerprint = fingerprint
        self.ends_backends = ends_backends
        self.began = began
        self.retried = False
        self.known_ends = 0


class CrashSimulation:
    """One run; ``run`` returns its result."""

    def __init__(self, shape: CrashSettings, seed: int) -> None:
        shape.check()
        self._shape = shape
        self._seed = seed
        self._random = Random(seed)
        self._scheduler = Scheduler()
        self._fleet = CrashFleet(shape.nodes, self._scheduler, self._random, shape.loss)
        self._backends = [_Backend(number) for number in range(shape.nodes)]
        self._ending = _fingerprint("ending")
        self._ended_at: list[float] = []
        self._known_at: float | None = None
        self._refused_wrongly = 0
        self._seconds = [Second() for _ in range(math.ceil(shape.seconds) + 1)]

    def run(self) -> CrashResult:
        """Play it to the end."""
        shape = self._shape
        self._every(shape.repeat, self._send_ending)
        self._every(1 / (shape.rate * shape.nodes), self._send_ordinary)
        self._scheduler.run_until(shape.seconds)
        ordinary = sum(second.ordinary for second in self._seconds)
        served = sum(second.served for second in self._seconds)
        ends = self._ended_at
        late = ends[2] + GRACE_SECONDS if len(ends) > 2 else math.inf
        known = (self._known_at - ends[2]) * 1000 if self._known_at is not None else None
        return CrashResult(
            shape=shape,
            seed=self._seed,
            ends=len(ends),
            late_ends=sum(at > late for at in ends),
            known_after=round(known, 2) if known is not None else None,
            bytes_per_end=round(self._fleet.sent_bytes / shape.nodes / max(1, len(ends)), 1),
            ordinary=ordinary,
            served=round(served / max(1, ordinary), 4),
            refused_wrongly=self._refused_wrongly,
            by_second=self._seconds,
        )

    def _every(self, seconds: float, act: Callable[[], None]) -> None:
        def again() -> None:
            act()
            self._scheduler.after(seconds, again)

        self._scheduler.after(seconds, again)

    def _second(self, at: float) -> Second:
        return self._seconds[int(at)]

    def _send_ending(self) -> None:
        for _ in range(self._shape.burst):
            self._begin(self._ending, ends_backends=True)

    def _send_ordinary(self) -> None:
        popular = self._random.random() < self._shape.popular
        name = "popular" if popular else f"{self._random.getrandbits(64):x}"
        self._second(self._scheduler.now).ordinary += 1
        self._begin(_fingerprint(name), ends_backends=False)

    def _begin(self, fingerprint: bytes, ends_backends: bool) -> None:
        node = self._random.randrange(self._shape.nodes)
        self._attempt(_Request(node, fingerprint, ends_backends, self._scheduler.now))

    def _attempt(self, request: _Request) -> None:
        if not self._admits(request):
            self._refused_wrongly += not request.ends_backends
            return
        chosen = self._random.sample(self._backends, min(REDIRECTS, len(self._backends)))
        backend = next((item for item in chosen if item.up), None)
        if backend is None:
            return
        backend.running.append(request)
        if request.ends_backends:
            self._scheduler.after(self._shape.run, lambda: self._end(backend, request))
        else:
            self._scheduler.after(self._shape.work, lambda: self._answer(backend, request))

    def _admits(self, request: _Request) -> bool:
        ledger = self._fleet.nodes[request.node].ledger
        request.known_ends = max(request.known_ends, ledger.crash_count(request.fingerprint))
        return ledger.try_admit(request.fingerprint, DEFAULT_CRASH_LIMIT, self._scheduler.now)

    def _answer(self, backend: _Backend, request: _Request) -> None:
        if request not in backend.running:
            return
        backend.running.remove(request)
        self._second(request.began).served += 1
        node = self._fleet.nodes[backend.number]
        if node.ledger.crash_count(request.fingerprint):
            effects = node.on_answer(self._scheduler.now, request.fingerprint)
            self._fleet.carry_out(backend.number, effects)

    def _end(self, backend: _Backend, request: _Request) -> None:
        if request not in backend.running:
            return
        broken, backend.running = backend.running, []
        backend.up = False
        self._ended_at.append(self._scheduler.now)
        self._second(self._scheduler.now).ends += 1
        self._scheduler.after(self._shape.away, lambda: self._come_back(backend))
        self._scheduler.after(NOTICE_SECONDS, lambda: self._notice(broken))
        if self._shape.ledger:
            self._scheduler.after(REPORT_SECONDS, lambda: self._report(backend, broken))

    def _come_back(self, backend: _Backend) -> None:
        backend.up = True

    def _notice(self, broken: list[_Request]) -> None:
        """Callers' nodes hear that the back end has ended, and try once more where they may."""
        for request in broken:
            request.known_ends += 1
            held = self._shape.ledger and request.known_ends >= DEFAULT_CRASH_LIMIT
            if not request.retried and not held:
                request.retried = True
                self._attempt(request)

    def _report(self, backend: _Backend, broken: list[_Request]) -> None:
        fingerprints = dict.fromkeys(request.fingerprint for request in broken)
        node = self._fleet.nodes[backend.number]
        self._fleet.carry_out(backend.number, node.on_crash(self._scheduler.now, fingerprints))
        if len(self._ended_at) >= DEFAULT_CRASH_LIMIT and self._known_at is None:
            self._look_who_knows()

    def _look_who_knows(self) -> None:
        counts = (node.ledger.crash_count(self._ending) for node in self._fleet.nodes)
        if all(count >= DEFAULT_CRASH_LIMIT for count in counts):
            self._known_at = self._scheduler.now
        else:
            self._scheduler.after(NOTICE_SECONDS, self._look_who_knows)


def _fingerprint(name: str) -> bytes:
    return fingerprint_of(head_digest("GET", f"/{name}".encode(), []), b"")


def simulate_crashes(shape: CrashSettings, seed: int) -> CrashResult:
    """Play one shape.

    Raises:
        LabUsageError: the shape makes no sense.
    """
    return CrashSimulation(shape, seed).run()
