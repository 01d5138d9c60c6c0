"""Generators of the requests that the callers of a soak send, by the kind of their traffic."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence

import msgspec

from pewtertack.lab.errors import LabUsageError
from pewtertack.lab.load.mix import CallKind

PIPELINED_SHARE = 0.3
"""Fraction of the turns in which several requests are sent before the first response."""
MAX_PIPELINED = 4
UPLOAD_BYTES = (60_000, 300_000)
SMALL_BODY_BYTES = 512
RESPONSE_BYTES = (200, 60_000)
DOWNLOAD_BYTES = (60_000, 300_000)
LOOKUP = "lookup"
"""A route of short requests that may be repeated."""
UPLOAD = "upload"
"""The route of requests with long bodies."""
DOWNLOAD = "download"
"""The route of requests with long responses."""
WORK_MILLISECONDS = {UPLOAD: (400, 1500), "confirm": (30, 200), "records": (50, 400)}
OTHER_WORK_MILLISECONDS = (5, 60)
QUICK_WORK_MILLISECONDS = 5.0
WEIGHTS = {UPLOAD: 4.0, "confirm": 2.0}
"""Weights of routes in the random choice; 1 for every other route."""
THINK_SECONDS = 0.1
"""Mean pause between the end of a response and the next request."""
DOWNLOAD_THINK_SECONDS = 0.5
"""The same for callers of long responses, longer so that a refused caller retries only after the
link queue has advanced."""
MAX_READ_PAUSE_SECONDS = 0.05
"""Maximum pause between two reads of a long response; other callers read without pauses."""


MIXED_TRAFFIC = "mixed"
DOWNLOAD_TRAFFIC = "downloads"
QUICK_TRAFFIC = "quick"


class RequestGenerator(ABC):
    """Generates the requests of one caller.

    Args:
        mix: the kinds of calls of all routes.
        chooser: makes the random choices.
    """

    __slots__ = ("_random", "kinds")

    think_seconds = THINK_SECONDS
    """Mean pause before the next request, in seconds."""

    def __init__(self, mix: Sequence[CallKind], chooser: random.Random) -> None:
        self.kinds = [kind for kind in mix if self._uses(kind)]
        """The kinds of calls that may be sent."""
        self._random = chooser

    @abstractmethod
    def _uses(self, kind: CallKind) -> bool:
        """Tell whether the caller sends requests of this kind."""

    @abstractmethod
    def next_requests(self) -> list[CallKind]:
        """Return the requests to send next without waiting for responses in between."""

    def read_pause(self) -> float:
        """Return the seconds between two reads of a response, chosen for each connection."""
        return 0.0


GENERATORS: dict[str, type[RequestGenerator]] = {}
"""The generators by the kind of traffic, filled by `traffic`."""


def traffic(name: str) -> Callable[[type[RequestGenerator]], type[RequestGenerator]]:
    """Register the decorated class as the generator of a kind of traffic."""

    def register(generator: type[RequestGenerator]) -> type[RequestGenerator]:
        GENERATORS[name] = generator
        return generator

    return register


def generator_of(name: str) -> type[RequestGenerator]:
    """Return the generator of a kind of traffic.

    Raises:
        LabUsageError: there is no such kind.
    """
    if name not in GENERATORS:
        raise LabUsageError(f"unknown traffic {name!r}; accepted: {', '.join(GENERATORS)}")
    return GENERATORS[name]


@traffic(MIXED_TRAFFIC)
class MixedRequestGenerator(RequestGenerator):
    """Generates requests of all routes but that of long responses."""

    __slots__ = ()

    def _uses(self, kind: CallKind) -> bool:
        return kind.route != DOWNLOAD

    def next_requests(self) -> list[CallKind]:
        """Return one request of any route, sometimes preceded by several repeatable ones."""
        weights = [WEIGHTS.get(kind.route, 1.0) for kind in self.kinds]
        last = self._random.choices(self.kinds, weights)
        first: list[CallKind] = []
        if self._random.random() < PIPELINED_SHARE:
            repeatable = [kind for kind in self.kinds if kind.repeatable]
            first = self._random.choices(repeatable, k=self._random.randint(1, MAX_PIPELINED))
        return [self._fill_in(kind) for kind in (*first, *last)]

    def _fill_in(self, kind: CallKind) -> CallKind:
        work_range = WORK_MILLISECONDS.get(kind.route, OTHER_WORK_MILLISECONDS)
        body_range = UPLOAD_BYTES if kind.route == UPLOAD else (SMALL_BODY_BYTES, SMALL_BODY_BYTES)
        return msgspec.structs.replace(
            kind,
            work_milliseconds=self._random.uniform(*work_range),
            answer_bytes=self._random.randint(*RESPONSE_BYTES),
            body_bytes=self._random.randint(*body_range) if kind.body_bytes else 0,
        )


@traffic(DOWNLOAD_TRAFFIC)
class DownloadRequestGenerator(RequestGenerator):
    """Generates requests for long responses, one at a time, which are read with pauses."""

    __slots__ = ()

    think_seconds = DOWNLOAD_THINK_SECONDS

    def _uses(self, kind: CallKind) -> bool:
        return kind.route == DOWNLOAD

    def next_requests(self) -> list[CallKind]:
        """Return one request."""
        (kind,) = self.kinds
        request = msgspec.structs.replace(
            kind,
            work_milliseconds=self._random.uniform(*OTHER_WORK_MILLISECONDS),
            answer_bytes=self._random.randint(*DOWNLOAD_BYTES),
            body_bytes=0,
        )
        return [request]

    def read_pause(self) -> float:
        """Return a random pause, to simulate a caller that reads slowly."""
        return self._random.uniform(0.0, MAX_READ_PAUSE_SECONDS)


@traffic(QUICK_TRAFFIC)
class QuickRequestGenerator(RequestGenerator):
    """Generates short requests, one at a time, so that a back end may get many in a second."""

    __slots__ = ()

    def _uses(self, kind: CallKind) -> bool:
        return kind.route == LOOKUP

    def next_requests(self) -> list[CallKind]:
        """Return one request."""
        (kind,) = self.kinds
        request = msgspec.structs.replace(
            kind,
            work_milliseconds=QUICK_WORK_MILLISECONDS,
            answer_bytes=RESPONSE_BYTES[0],
            body_bytes=0,
        )
        return [request]
