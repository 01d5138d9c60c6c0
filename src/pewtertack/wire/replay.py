"""Replay detection with a sliding window of frame counters per sending process."""

from __future__ import annotations

from collections import OrderedDict

import msgspec

from pewtertack.wire.errors import ReplayedFrameError

WINDOW_COUNTERS = 1024
"""By how many counters a frame may arrive later than newer frames of the same process.

One counter numbers all frames of a process, to all receivers, so no more datagrams than
this may overtake a frame on a slow stream.
"""

WINDOWS_MAX = 8192
"""Number of sending processes remembered; the least recently active one is evicted first."""

Process = tuple[str, int]
"""Name and incarnation of a sending process."""


class _Window(msgspec.Struct):
    """Counters seen of one process; bit ``n`` of ``seen`` stands for counter ``newest - n``."""

    newest: int
    seen: int


class ReplayGuard:
    """Accepts each counter of a process once.

    Memory is limited to ``window_limit`` windows of ``WINDOW_COUNTERS`` bits.
    """

    def __init__(self, window_limit: int = WINDOWS_MAX) -> None:
        self._windows: OrderedDict[Process, _Window] = OrderedDict()
        self._window_limit = window_limit

    def __len__(self) -> int:
        return len(self._windows)

    def accept(self, sender: str, incarnation: int, counter: int) -> None:
        """Record a frame counter.

        Raises:
            ReplayedFrameError: the counter was recorded before or is older than the window.
        """
        process = (sender, incarnation)
        window = self._windows.get(process)
        if window is None:
            self._add_window(process, counter)
            return
        self._windows.move_to_end(process)
        if counter > window.newest:
            _advance(window, counter)
        else:
            _mark_seen(window, counter)

    def _add_window(self, process: Process, counter: int) -> None:
        self._windows[process] = _Window(newest=counter, seen=1)
        if len(self._windows) > self._window_limit:
            self._windows.popitem(last=False)


def _advance(window: _Window, counter: int) -> None:
    distance = counter - window.newest
    kept = window.seen << distance if distance < WINDOW_COUNTERS else 0
    window.seen = (kept | 1) & ((1 << WINDOW_COUNTERS) - 1)
    window.newest = counter


def _mark_seen(window: _Window, counter: int) -> None:
    bit = 1 << min(window.newest - counter, WINDOW_COUNTERS)
    if bit >> WINDOW_COUNTERS or window.seen & bit:
        raise ReplayedFrameError(f"counter {counter} repeated or too old; newest {window.newest}")
    window.seen |= bit
