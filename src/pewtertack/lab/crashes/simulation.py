"""Simulates a request that repeatedly crashes back ends, among ordinary requests."""

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
"""Time from the crash of a back end until its gateway has detected it."""
REPORT_SECONDS = 0.01
"""Time from the first interrupted exchange to the crash report (``node.crash_watch``)."""
MAX_BACKENDS_TRIED = 3
"""Number of back ends that are tried before a request is refused as having no back end."""
GRACE_SECONDS = 3.0
"""Time after the third crash for which attempts that began before it may still run."""


class CrashSettings(msgspec.Struct, frozen=True):
    """Settings of a simulation. Times are in seconds, rates per second."""

    nodes: int = 12
    """Number of nodes; each has a local back end of the service."""
    seconds: float = 20.0
    repeat: float = 0.2
    """Time between two sends of the crashing request, to randomly drawn nodes."""
    burst: int = 1
    """Number of concurrent copies of the crashing request in each send."""
    run: float = 0.05
    """Time from the start of the crashing request's execution to the crash."""
    away: float = 3.0
    """Time from a crash until the back end is available again."""
    rate: float = 5.0
    """Ordinary requests per second and back end."""
    work: float = 0.1
    """Execution time of an ordinary request."""
    popular: float = 0.2
    """Fraction of the ordinary requests that are identical, with one fingerprint."""
    loss: float = 0.02
    """Fraction of the datagrams that are lost."""
    ledger: bool = True
    """Whether crashes are reported and recorded."""

    def validate(self) -> None:
        """Validate the settings.

        Raises:
            LabUsageError: a value is out of range.
        """
        positive = (self.seconds, self.repeat, self.run, self.away, self.rate, self.work)
        if not all(math.isfinite(value) and value > 0 for value in positive):
            raise LabUsageError("times and rates must be greater than 0")
        if self.nodes < 2 or self.burst < 1:
            raise LabUsageError("nodes must be at least 2, burst at least 1")
        if not (0 <= self.loss < 1 and 0 <= self.popular <= 1):
            raise LabUsageError("loss must be from 0 to below 1, popular from 0 to 1")


class SecondCounts(msgspec.Struct):
    """Counts of crashes and of ordinary requests, offered and served, in one second."""

    ends: int = 0
    ordinary: int = 0
    served: int = 0


class CrashResult(msgspec.Struct, frozen=True):
    """Result of a simulation."""

    shape: CrashSettings
    seed: int
    ends: int
    """Number of crashes."""
    late_ends: int
    """Crashes later than ``GRACE_SECONDS`` after the third."""
    known_after: float | None
    """Milliseconds from the third crash until every node had recorded it."""
    bytes_per_end: float
    """Bytes that a node sent per crash, including regular reports."""
    ordinary: int
    """Number of ordinary requests."""
    served: float
    """Fraction of the ordinary requests that were served."""
    refused_wrongly: int
    """Ordinary requests that were refused as crashing requests."""
    by_second: list[SecondCounts]


class _Backend:
    __slots__ = ("available", "executing", "index")

    def __init__(self, index: int) -> None:
        self.index = index
        self.available = True
        self.executing: list[_Request] = []


class _Request:
    __slots__ = ("began_at", "crashes_backends", "fingerprint", "known_crashes", "node", "retried")

    def __init__(
        self, node: int, fingerprint: bytes, crashes_backends: bool, began_at: float
    ) -> None:
        self.node = node
        self.fingerprint = fingerprint
        self.crashes_backends = crashes_backends
        self.began_at = began_at
        self.retried = False
        self.known_crashes = 0


class CrashSimulation:
    """One simulation; ``run`` returns its result."""

    def __init__(self, settings: CrashSettings, seed: int) -> None:
        settings.validate()
        self._settings = settings
        self._seed = seed
        self._random = Random(seed)
        self._scheduler = Scheduler()
        self._fleet = CrashFleet(settings.nodes, self._scheduler, self._random, settings.loss)
        self._backends = [_Backend(index) for index in range(settings.nodes)]
        self._crashing_fingerprint = _fingerprint("ending")
        self._crash_times: list[float] = []
        self._recorded_everywhere_at: float | None = None
        self._refused_wrongly = 0
        self._counts_by_second = [SecondCounts() for _ in range(math.ceil(settings.seconds) + 1)]

    def run(self) -> CrashResult:
        """Run the simulation to its end."""
        settings = self._settings
        self._every(settings.repeat, self._send_crashing)
        self._every(1 / (settings.rate * settings.nodes), self._send_ordinary)
        self._scheduler.run_until(settings.seconds)
        ordinary = sum(second.ordinary for second in self._counts_by_second)
        served = sum(second.served for second in self._counts_by_second)
        crashed_at = self._crash_times
        late_after = crashed_at[2] + GRACE_SECONDS if len(crashed_at) > 2 else math.inf
        known = (
            (self._recorded_everywhere_at - crashed_at[2]) * 1000
            if self._recorded_everywhere_at is not None
            else None
        )
        return CrashResult(
            shape=settings,
            seed=self._seed,
            ends=len(crashed_at),
            late_ends=sum(at > late_after for at in crashed_at),
            known_after=round(known, 2) if known is not None else None,
            bytes_per_end=round(
                self._fleet.sent_bytes / settings.nodes / max(1, len(crashed_at)), 1
            ),
            ordinary=ordinary,
            served=round(served / max(1, ordinary), 4),
            refused_wrongly=self._refused_wrongly,
            by_second=self._counts_by_second,
        )

    def _every(self, seconds: float, action: Callable[[], None]) -> None:
        def run_and_repeat() -> None:
            action()
            self._scheduler.after(seconds, run_and_repeat)

        self._scheduler.after(seconds, run_and_repeat)

    def _counts_at(self, at: float) -> SecondCounts:
        return self._counts_by_second[int(at)]

    def _send_crashing(self) -> None:
        for _ in range(self._settings.burst):
            self._send_request(self._crashing_fingerprint, crashes_backends=True)

    def _send_ordinary(self) -> None:
        popular = self._random.random() < self._settings.popular
        name = "popular" if popular else f"{self._random.getrandbits(64):x}"
        self._counts_at(self._scheduler.now).ordinary += 1
        self._send_request(_fingerprint(name), crashes_backends=False)

    def _send_request(self, fingerprint: bytes, crashes_backends: bool) -> None:
        node = self._random.randrange(self._settings.nodes)
        self._attempt(_Request(node, fingerprint, crashes_backends, self._scheduler.now))

    def _attempt(self, request: _Request) -> None:
        if not self._try_admit(request):
            self._refused_wrongly += not request.crashes_backends
            return
        candidates = self._random.sample(
            self._backends, min(MAX_BACKENDS_TRIED, len(self._backends))
        )
        backend = next((item for item in candidates if item.available), None)
        if backend is None:
            return
        backend.executing.append(request)
        if request.crashes_backends:
            self._scheduler.after(self._settings.run, lambda: self._crash(backend, request))
        else:
            self._scheduler.after(self._settings.work, lambda: self._finish(backend, request))

    def _try_admit(self, request: _Request) -> bool:
        ledger = self._fleet.nodes[request.node].ledger
        request.known_crashes = max(request.known_crashes, ledger.crash_count(request.fingerprint))
        return ledger.try_admit(request.fingerprint, DEFAULT_CRASH_LIMIT, self._scheduler.now)

    def _finish(self, backend: _Backend, request: _Request) -> None:
        if request not in backend.executing:
            return
        backend.executing.remove(request)
        self._counts_at(request.began_at).served += 1
        node = self._fleet.nodes[backend.index]
        if node.ledger.crash_count(request.fingerprint):
            effects = node.on_answer(self._scheduler.now, request.fingerprint)
            self._fleet.send_reports(backend.index, effects)

    def _crash(self, backend: _Backend, request: _Request) -> None:
        if request not in backend.executing:
            return
        interrupted, backend.executing = backend.executing, []
        backend.available = False
        self._crash_times.append(self._scheduler.now)
        self._counts_at(self._scheduler.now).ends += 1
        self._scheduler.after(self._settings.away, lambda: self._restart(backend))
        self._scheduler.after(NOTICE_SECONDS, lambda: self._handle_crash_notice(interrupted))
        if self._settings.ledger:
            self._scheduler.after(REPORT_SECONDS, lambda: self._report(backend, interrupted))

    def _restart(self, backend: _Backend) -> None:
        backend.available = True

    def _handle_crash_notice(self, interrupted: list[_Request]) -> None:
        """Count the crash at the callers' nodes, and retry each request once if it is allowed."""
        for request in interrupted:
            request.known_crashes += 1
            refused = self._settings.ledger and request.known_crashes >= DEFAULT_CRASH_LIMIT
            if not request.retried and not refused:
                request.retried = True
                self._attempt(request)

    def _report(self, backend: _Backend, interrupted: list[_Request]) -> None:
        fingerprints = dict.fromkeys(request.fingerprint for request in interrupted)
        node = self._fleet.nodes[backend.index]
        self._fleet.send_reports(backend.index, node.on_crash(self._scheduler.now, fingerprints))
        if len(self._crash_times) >= DEFAULT_CRASH_LIMIT and self._recorded_everywhere_at is None:
            self._check_recorded()

    def _check_recorded(self) -> None:
        counts = (node.ledger.crash_count(self._crashing_fingerprint) for node in self._fleet.nodes)
        if all(count >= DEFAULT_CRASH_LIMIT for count in counts):
            self._recorded_everywhere_at = self._scheduler.now
        else:
            self._scheduler.after(NOTICE_SECONDS, self._check_recorded)


def _fingerprint(name: str) -> bytes:
    return fingerprint_of(head_digest("GET", f"/{name}".encode(), []), b"")


def simulate_crashes(settings: CrashSettings, seed: int) -> CrashResult:
    """Run one simulation.

    Raises:
        LabUsageError: a setting is out of range.
    """
    return CrashSimulation(settings, seed).run()
