"""Searches many schedules for one that breaks a promise, over several processes."""

from __future__ import annotations

import dataclasses
from collections import Counter
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from typing import ClassVar

import msgspec
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import seed as hypothesis_seed

from pewtertack.core.profile import PROFILES, Mechanisms, TimingProfile
from pewtertack.errors import LabError
from pewtertack.lab.history.verdicts import Verdict
from pewtertack.lab.simulation.execution import run_schedule, without_mechanism
from pewtertack.lab.simulation.schedules import Schedule
from pewtertack.lab.simulation.strategies import schedules

BATCH = 100
"""Schedules in one hypothesis run; each batch has a seed of its own."""


class UnknownMechanismError(LabError):
    """There is no mechanism of this name to switch off."""

    code: ClassVar[str] = "unknown-mechanism"


class Counterexample(msgspec.Struct, frozen=True):
    """A shrunk schedule and the promises that it breaks."""

    schedule: Schedule
    violations: tuple[Verdict, ...]


class BatchResult(msgspec.Struct, frozen=True):
    """What one batch found; ``judged`` counts events by promise."""

    seed: int
    schedules: int
    judged: dict[str, int]
    counterexample: Counterexample | None


class _PromiseBrokenError(Exception):
    """Tells hypothesis that a schedule fails."""


@dataclasses.dataclass(slots=True)
class _Batch:
    """Runs schedules, counts what was judged, and remembers the last failure."""

    without: str | None
    schedules: int = 0
    judged: Counter[str] = dataclasses.field(default_factory=Counter)
    failure: Counterexample | None = None

    def run(self, schedule: Schedule) -> None:
        """Run one schedule.

        Raises:
            _PromiseBrokenError: a promise was broken.
        """
        result = run_schedule(schedule, self._profile(schedule))
        self.schedules += 1
        for verdict in result.verdicts:
            self.judged[verdict.promise.value] += verdict.judged
        if result.violations:
            self.failure = Counterexample(schedule, result.violations)
            raise _PromiseBrokenError

    def _profile(self, schedule: Schedule) -> TimingProfile | None:
        if self.without is None:
            return None
        return without_mechanism(PROFILES[schedule.profile], self.without)


def run_batch(seed: int, count: int, without: str | None, shrink: bool) -> BatchResult:
    """Run ``count`` schedules drawn with ``seed``, or fewer up to a shrunk failure."""
    batch = _Batch(without)
    phases = [Phase.generate, Phase.shrink] if shrink else [Phase.generate]
    configured = settings(
        max_examples=count,
        deadline=None,
        database=None,
        phases=phases,
        print_blob=False,
        suppress_health_check=list(HealthCheck),
    )
    search = hypothesis_seed(seed)(configured(given(schedules())(batch.run)))
    try:
        search()
    except _PromiseBrokenError:
        return BatchResult(seed, batch.schedules, dict(batch.judged), batch.failure)
    return BatchResult(seed, batch.schedules, dict(batch.judged), None)


def explore(
    count: int,
    seed: int,
    workers: int,
    without: str | None = None,
    shrink: bool = True,
    progress: Callable[[BatchResult], None] = lambda _: None,
) -> list[BatchResult]:
    """Run ``count`` schedules in ``workers`` processes; ``without`` names a mechanism.

    Raises:
        UnknownMechanismError: ``without`` is no mechanism.
    """
    names = [field.name for field in msgspec.structs.fields(Mechanisms)]
    if without is not None and without not in names:
        raise UnknownMechanismError(f"{without!r}; there are {', '.join(names)}")
    results: list[BatchResult] = []
    with ProcessPoolExecutor(workers) as pool:
        futures = [
            pool.submit(run_batch, batch_seed, size, without, shrink)
            for batch_seed, size in _batches(count, seed)
        ]
        for future in as_completed(futures):
            results.append(future.result())
            progress(results[-1])
    return sorted(results, key=lambda result: result.seed)


def _batches(count: int, seed: int) -> Iterator[tuple[int, int]]:
    """Yield a seed and a size for each batch."""
    for index, start in enumerate(range(0, count, BATCH)):
        yield seed * 1_000 + index, min(BATCH, count - start)
