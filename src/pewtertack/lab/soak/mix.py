"""What the callers of a soak ask for, and in which order."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections.abc import Sequence

import msgspec

from pewtertack.lab.load.mix import CallKind

PIPELINED_SHARE = 0.3
"""Share of the turns in which several requests are sent before the first answer."""
MOST_PIPELINED = 4
UPLOAD_BYTES = (60_000, 300_000)
SMALL_BODY_BYTES = 512
ANSWER_BYTES = (200, 60_000)
DOWNLOAD_BYTES = (60_000, 300_000)
UPLOAD = "upload"
"""The route of long bodies."""
DOWNLOAD = "download"
"""The route of long answers."""
WORK_MILLISECONDS = {UPLOAD: (400, 1500), "confirm": (30, 200), "records": (50, 400)}
OTHER_WORK_MILLISECONDS = (5, 60)
WEIGHTS = {UPLOAD: 4.0, "confirm": 2.0}
"""Of the routes; every other route's is 1."""
THINK_SECONDS = 0.1
"""Mean pause between the end of an answer and the next request."""
DOWNLOAD_THINK_SECONDS = 0.5
"""The same of who asks for long answers: who is refused comes back when the line has moved."""
READING_PAUSE_SECONDS = 0.05
"""The longest between two reads of a long answer; other callers read at once."""


class RequestGenerator(ABC):
    """Draws one caller's requests.

    Args:
        mix: the kinds of calls of all routes.
        chooser: decides.
    """

    __slots__ = ("_random", "kinds")

    think_seconds = THINK_SECONDS
    """Mean pause before the next request."""

    def __init__(self, mix: Sequence[CallKind], chooser: random.Random) -> None:
        self.kinds = [kind for kind in mix if self._takes(kind)]
        """What may be drawn."""
        self._random = chooser

    @abstractmethod
    def _takes(self, kind: CallKind) -> bool:
        """Tell whether the caller uses a route."""

    @abstractmethod
    def draw(self) -> list[CallKind]:
        """Return what to send next, one behind the other."""

    def reading_pause(self) -> float:
        """Return the seconds between two reads of an answer, for a new connection."""
        return 0.0


class MixedRequestGenerator(RequestGenerator):
    """RequestGenerator of all routes but that of long answers."""

    __slots__ = ()

    def _takes(self, kind: CallKind) -> bool:
        return kind.route != DOWNLOAD

    def draw(self) -> list[CallKind]:
        """Return one request, or some that may be repeated with any one at the end."""
        weights = [WEIGHTS.get(kind.route, 1.0) for kind in self.kinds]
        last = self._random.choices(self.kinds, weights)
        before: list[CallKind] = []
        if self._random.random() < PIPELINED_SHARE:
            repeatable = [kind for kind in self.kinds if kind.repeatable]
            before = self._random.choices(repeatable, k=self._random.randint(1, MOST_PIPELINED))
        return [self._drawn(kind) for kind in (*before, *last)]

    def _drawn(self, kind: CallKind) -> CallKind:
        work = WORK_MILLISECONDS.get(kind.route, OTHER_WORK_MILLISECONDS)
        sizes = UPLOAD_BYTES if kind.route == UPLOAD else (SMALL_BODY_BYTES, SMALL_BODY_BYTES)
        return msgspec.structs.replace(
            kind,
            work_milliseconds=self._random.uniform(*work),
            answer_bytes=self._random.randint(*ANSWER_BYTES),
            body_bytes=self._random.randint(*sizes) if kind.body_bytes else 0,
        )


class DownloadRequestGenerator(RequestGenerator):
    """RequestGenerator for long answers, one at a time, read at the caller's ease."""

    __slots__ = ()

    think_seconds = DOWNLOAD_THINK_SECONDS

    def _takes(self, kind: CallKind) -> bool:
        return kind.route == DOWNLOAD

    def draw(self) -> list[CallKind]:
        """Return one request."""
        (kind,) = self.kinds
        drawn = msgspec.structs.replace(
            kind,
            work_milliseconds=self._random.uniform(*OTHER_WORK_MILLISECONDS),
            answer_bytes=self._random.randint(*DOWNLOAD_BYTES),
            body_bytes=0,
        )
        return [drawn]

    def reading_pause(self) -> float:
        """Return a pause as a caller may take it who has other things to do."""
        return self._random.uniform(0.0, READING_PAUSE_SECONDS)
