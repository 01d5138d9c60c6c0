"""Searches random schedules for one that violates a guarantee, in several processes."""

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

BATCH_SIZE = 100
"""Schedules in one hypothesis run. Each batch has its own seed."""


class UnknownMechanismError(LabError):
    """The mechanism to disable does not exist."""

    code: ClassVar[str] = "unknown-mechanism"


class Counterexample(msgspec.Struct, frozen=True):
    """A shrunk schedule and the guarantees that it violates."""

    schedule: Schedule
    violations: tuple[Verdict, ...]


class BatchResult(msgspec.Struct, frozen=True):
    """Result of one batch; ``judged`` counts the checked events by guarantee."""

    seed: int
    schedules: int
    judged: dict[str, int]
    counterexample: Counterexample | None


class _PromiseBrokenError(Exception):
    """Signals to hypothesis that a schedule violates a guarantee."""


@dataclasses.dataclass(slots=True)
class _Batch:
    """Runs schedules, counts the checked events, and keeps the last failure."""

    disabled_mechanism: str | None
    schedules: int = 0
    judged: Counter[str] = dataclasses.field(default_factory=Counter)
    failure: Counterexample | None = None

    def run(self, schedule: Schedule) -> None:
        """Run one schedule.

        Raises:
            _PromiseBrokenError: a guarantee was violated.
        """
        result = run_schedule(schedule, self._profile(schedule))
        self.schedules += 1
        for verdict in result.verdicts:
            self.judged[verdict.promise.value] += verdict.judged
        if result.violations:
            self.failure = Counterexample(schedule, result.violations)
            raise _PromiseBrokenError

    def _profile(self, schedule: Schedule) -> TimingProfile | None:
        if self.disabled_mechanism is None:
            return None
        return without_mechanism(PROFILES[schedule.profile], self.disabled_mechanism)


def run_batch(
    seed: int, schedule_count: int, disabled_mechanism: str | None, shrink: bool
) -> BatchResult:
    """Run up to ``schedule_count`` schedules drawn with ``seed``; stop at the first failure.

    Args:
        seed: decides which schedules are drawn.
        schedule_count: number of schedules unless one fails.
        disabled_mechanism: name of a mechanism that is disabled in all runs.
        shrink: whether a failing schedule is shrunk.
    """
    batch = _Batch(disabled_mechanism)
    phases = [Phase.generate, Phase.shrink] if shrink else [Phase.generate]
    configured = settings(
        max_examples=schedule_count,
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
    schedule_count: int,
    seed: int,
    workers: int,
    disabled_mechanism: str | None = None,
    shrink: bool = True,
    progress: Callable[[BatchResult], None] = lambda _: None,
) -> list[BatchResult]:
    """Run random schedules in ``workers`` processes and return the results in order of seeds.

    Args:
        schedule_count: total number of schedules.
        seed: seed that the seeds of the batches are derived from.
        workers: number of processes.
        disabled_mechanism: name of a mechanism that is disabled in all runs.
        shrink: whether failing schedules are shrunk.
        progress: called with each result as it arrives.

    Raises:
        UnknownMechanismError: ``disabled_mechanism`` does not exist.
    """
    names = [field.name for field in msgspec.structs.fields(Mechanisms)]
    if disabled_mechanism is not None and disabled_mechanism not in names:
        raise UnknownMechanismError(f"{disabled_mechanism!r}; mechanisms are {', '.join(names)}")
    results: list[BatchResult] = []
    with ProcessPoolExecutor(workers) as pool:
        futures = [
            pool.submit(run_batch, batch_seed, size, disabled_mechanism, shrink)
            for batch_seed, size in _batch_sizes(schedule_count, seed)
        ]
        for future in as_completed(futures):
            results.append(future.result())
            progress(results[-1])
    return sorted(results, key=lambda result: result.seed)


def _batch_sizes(schedule_count: int, seed: int) -> Iterator[tuple[int, int]]:
    """Yield the seed and the size of each batch."""
    for batch_index, start in enumerate(range(0, schedule_count, BATCH_SIZE)):
        yield seed * 1_000 + batch_index, min(BATCH_SIZE, schedule_count - start)
