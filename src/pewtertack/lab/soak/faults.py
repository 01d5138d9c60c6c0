"""Registry of the kinds of faults of a soak by lane, filled by decorators."""

from __future__ import annotations

import importlib
import random
from collections.abc import Awaitable, Callable, Iterator
from enum import StrEnum

from pewtertack.lab.soak.context import SoakContext

FaultBody = Callable[[SoakContext, random.Random], Awaitable[None]]
"""Injects one fault and removes it again; the generator makes its random choices."""


class Lane(StrEnum):
    """A lane of faults: they happen one after the other, while the lanes run concurrently."""

    NODES = "nodes"
    MORE_NODES = "more-nodes"
    """The same faults as in `NODES`, so that two of them can overlap."""
    PLATFORM = "platform"
    BACKENDS = "backends"
    EDITS = "edits"
    REQUESTS = "requests"
    DOWNLOADS = "downloads"
    RETURNS = "returns"
    REPORTS = "reports"
    REFUSALS = "refusals"


FAULT_MODULES = (
    "pewtertack.lab.soak.node_faults",
    "pewtertack.lab.soak.platform_faults",
    "pewtertack.lab.soak.backend_faults",
    "pewtertack.lab.soak.request_faults",
    "pewtertack.lab.soak.downloads",
    "pewtertack.lab.soak.returns",
    "pewtertack.lab.soak.report_faults",
)
MEAN_GAP_SECONDS = {
    Lane.NODES: 0.7,
    Lane.MORE_NODES: 1.2,
    Lane.PLATFORM: 2.0,
    Lane.BACKENDS: 1.5,
    Lane.EDITS: 1.5,
    Lane.REQUESTS: 2.0,
    Lane.DOWNLOADS: 0.5,
    Lane.RETURNS: 2.0,
    Lane.REPORTS: 0.5,
    Lane.REFUSALS: 4.0,
}
"""Mean time between the end of one fault and the next, by lane."""


class FaultKind:
    """One kind of fault, chosen in its lanes with a probability proportional to ``weight``."""

    __slots__ = ("body", "description", "name", "weight")

    def __init__(self, name: str, weight: float, body: FaultBody) -> None:
        self.name = name
        self.weight = weight
        self.body = body
        self.description = (body.__doc__ or "").strip().splitlines()[0]


class ScheduledFault:
    """A fault injected ``gap_seconds`` after the previous one; ``seed`` determines its choices."""

    __slots__ = ("gap_seconds", "kind", "seed")

    def __init__(self, kind: FaultKind, gap_seconds: float, seed: str) -> None:
        self.kind = kind
        self.gap_seconds = gap_seconds
        self.seed = seed


_REGISTRY: dict[Lane, list[FaultKind]] = {lane: [] for lane in Lane}


def fault(name: str, *lanes: Lane, weight: float = 1.0) -> Callable[[FaultBody], FaultBody]:
    """Register the decorated function as a kind of fault in these lanes."""

    def register(body: FaultBody) -> FaultBody:
        kind = FaultKind(name, weight, body)
        for lane in lanes:
            _REGISTRY[lane].append(kind)
        return body

    return register


def kinds_of(lane: Lane) -> tuple[FaultKind, ...]:
    """Return the kinds of faults of a lane in the order of their definition."""
    for name in FAULT_MODULES:
        importlib.import_module(name)
    return tuple(_REGISTRY[lane])


def schedule_faults(lane: Lane, seed: int) -> Iterator[ScheduledFault]:
    """Yield the infinite series of faults of a lane, determined by the seed."""
    chooser = random.Random(f"{seed}:{lane}")
    kinds = kinds_of(lane)
    weights = [kind.weight for kind in kinds]
    kind, index = kinds[0], 0
    while True:
        gap_seconds = chooser.expovariate(1 / MEAN_GAP_SECONDS[lane])
        yield ScheduledFault(kind, gap_seconds, f"{seed}:{lane}:{index}")
        kind = chooser.choices(kinds, weights)[0]
        index += 1
