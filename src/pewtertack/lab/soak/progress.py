"""Prints the progress of a soak, with the guarantees violated so far."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable

import anyio

from pewtertack.lab.fleet.history import HistoryRecorder
from pewtertack.lab.history.checker import REQUEST_CHECKS
from pewtertack.lab.history.timeline import Timeline
from pewtertack.lab.history.verdicts import CheckBounds, Judgement
from pewtertack.lab.records import CallResult, HistoryLine

PROGRESS_INTERVAL_SECONDS = 10.0
MAX_CHECK_SHARE = 0.1
"""Fraction of the time that checks may take while the soak runs."""


class Progress:
    """Periodically prints the progress of a soak and judges the requests so far.

    Args:
        recorder: has the history.
        fault_counts: number of faults started, by kind.
        bounds: the bounds of the checks.
        print_line: called with each line.
    """

    __slots__ = ("_bounds", "_fault_counts", "_print_line", "_recorder", "_started_at")

    def __init__(
        self,
        recorder: HistoryRecorder,
        fault_counts: Counter[str],
        bounds: CheckBounds,
        print_line: Callable[[str], None],
    ) -> None:
        self._recorder = recorder
        self._fault_counts = fault_counts
        self._bounds = bounds
        self._print_line = print_line
        self._started_at = time.monotonic()

    async def run(self) -> None:
        """Print until cancelled, less often if the checks take long."""
        pause = PROGRESS_INTERVAL_SECONDS
        while True:
            await anyio.sleep(pause)
            check_started_at = time.monotonic()
            line = await anyio.to_thread.run_sync(self._describe, list(self._recorder.lines))
            self._print_line(line)
            pause = max(
                PROGRESS_INTERVAL_SECONDS, (time.monotonic() - check_started_at) / MAX_CHECK_SHARE
            )

    def _describe(self, lines: list[HistoryLine]) -> str:
        elapsed = time.monotonic() - self._started_at
        outcomes = Counter(str(line.outcome) for line in lines if isinstance(line, CallResult))
        outcome_counts = ", ".join(f"{name} {count}" for name, count in sorted(outcomes.items()))
        faults = sum(self._fault_counts.values())
        return f"{elapsed:6.0f} s  {faults} faults  {outcome_counts}  {self._violations(lines)}"

    def _violations(self, lines: list[HistoryLine]) -> str:
        timeline = Timeline(lines)
        verdicts = [check(timeline, self._bounds) for check in REQUEST_CHECKS]
        violated = [
            f"{verdict.promise} ({len(verdict.offences)})"
            for verdict in verdicts
            if verdict.judgement is Judgement.VIOLATED
        ]
        return f"violated: {', '.join(violated)}" if violated else "nothing violated so far"
