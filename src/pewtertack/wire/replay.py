"""Recognition of repeated frames by a window of counters per sending process."""

from __future__ import annotations

from collections import OrderedDict

import msgspec

from pewtertack.wire.errors import ReplayedFrameError

WINDOW_COUNTERS = 1024
"""How far behind the newest frame of a process an older one may arrive.

One counter numbers all frames of a process, whoever receives them, so a slow
stream must not be overtaken by more datagrams than this.
"""

WINDOW_LIMIT = 8192
"""Sending processes remembered; the one that was silent longest is forgotten first."""

Process = tuple[str, int]
"""Name and incarnation of a sending process."""


class _Window(msgspec.Struct):
    """Bit ``n`` of ``seen`` stands for the counter ``newest - n``."""

    newest: int
    seen: int


class ReplayGuard:
    """Accepts each counter of a process once.

    Memory is bounded by ``window_limit`` windows of ``WINDOW_COUNTERS`` bits.
    """

    def __init__(self, window_limit: int = WINDOW_LIMIT) -> None:
        self._windows: OrderedDict[Process, _Window] = OrderedDict()
        self._window_limit = window_limit

    def __len__(self) -> int:
        return len(self._windows)

    def accept(self, sender: str, incarnation: int, counter: int) -> None:
        """Record the counter.

        Raises:
            ReplayedFrameError: it was recorded before or is older than the window.
        """
        process = (sender, incarnation)
        window = self._windows.get(process)
        if window is None:
            self._remember(process, counter)
            return
        self._windows.move_to_end(process)
        if counter > window.newest:
            _advance(window, counter)
        else:
            _fill(window, counter)

    def _remember(self, process: Process, counter: int) -> None:
        self._windows[process] = _Window(newest=counter, seen=1)
        if len(self._windows) > self._window_limit:
            self._windows.popitem(last=False)


def _advance(window: _Window, counter: int) -> None:
    distance = counter - window.newest
    kept = window.seen << distance if distance < WINDOW_COUNTERS else 0
    window.seen = (kept | 1) & ((1 << WINDOW_COUNTERS) - 1)
    window.newest = counter


def _fill(window: _Window, counter: int) -> None:
    bit = 1 << min(window.newest - counter, WINDOW_COUNTERS)
    if bit >> WINDOW_COUNTERS or window.seen & bit:
        raise ReplayedFrameError(f"counter {counter} after {window.newest}")
    window.seen |= bit
