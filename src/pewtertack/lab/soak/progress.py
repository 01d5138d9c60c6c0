"""Lines of progress while a soak runs, with the promises that are found violated so far."""

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

PROGRESS_SECONDS = 10.0
CHECK_SHARE = 0.1
"""Of the time that may go into checks while the soak runs."""


class Progress:
    """Prints how far a soak is, and judges the requests so far.

    Args:
        recorder: holds the history.
        made: faults made, by kind.
        bounds: of the checks.
        print_line: takes the lines.
    """

    __slots__ = ("_bounds", "_made", "_print_line", "_recorder", "_started")

    def __init__(
        self,
        recorder: HistoryRecorder,
        made: Counter[str],
        bounds: CheckBounds,
        print_line: Callable[[str], None],
    ) -> None:
        self._recorder = recorder
        self._made = made
        self._bounds = bounds
        self._print_line = print_line
        self._started = time.monotonic()

    async def run(self) -> None:
        """Print until cancelled; the checks take a small share of the time."""
        pause = PROGRESS_SECONDS
        while True:
            await anyio.sleep(pause)
            began = time.monotonic()
            line = await anyio.to_thread.run_sync(self._describe, list(self._recorder.lines))
            self._print_line(line)
            pause = max(PROGRESS_SECONDS, (time.monotonic() - began) / CHECK_SHARE)

    def _describe(self, lines: list[HistoryLine]) -> str:
        elapsed = time.monotonic() - self._started
        outcomes = Counter(str(line.outcome) for line in lines if isinstance(line, CallResult))
        told = ", ".join(f"{name} {count}" for name, count in sorted(outcomes.items()))
        faults = sum(self._made.values())
        return f"{elapsed:6.0f} s  {faults} faults  {told}  {self._violations(lines)}"

    def _violations(self, lines: list[HistoryLine]) -> str:
        timeline = Timeline(lines)
        verdicts = [check(timeline, self._bounds) for check in REQUEST_CHECKS]
        broken = [
            f"{verdict.promise} ({len(verdict.offences)})"
            for verdict in verdicts
            if verdict.judgement is Judgement.VIOLATED
        ]
        return f"violated: {', '.join(broken)}" if broken else "nothing violated so far"
