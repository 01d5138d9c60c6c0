"""The kinds of faults of a soak, by the lane that they happen in. Decorators fill the registry."""

from __future__ import annotations

import importlib
import random
from collections.abc import Awaitable, Callable, Iterator
from enum import StrEnum

from pewtertack.lab.soak.context import SoakContext

FaultBody = Callable[[SoakContext, random.Random], Awaitable[None]]
"""Makes one fault and ends it; the generator decides its choices."""


class Lane(StrEnum):
    """What happens one after the other; lanes run side by side."""

    NODES = "nodes"
    MORE_NODES = "more-nodes"
    """The same faults as in `NODES`, so that two of them overlap."""
    PLATFORM = "platform"
    BACKENDS = "backends"
    EDITS = "edits"
    REQUESTS = "requests"
    DOWNLOADS = "downloads"
    RETURNS = "returns"


FAULT_MODULES = (
    "pewtertack.lab.soak.node_faults",
    "pewtertack.lab.soak.platform_faults",
    "pewtertack.lab.soak.backend_faults",
    "pewtertack.lab.soak.request_faults",
    "pewtertack.lab.soak.downloads",
    "pewtertack.lab.soak.returns",
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
}
"""Between the end of one fault and the next, on average."""


class FaultKind:
    """One kind of fault; kinds of a lane are drawn by ``weight``."""

    __slots__ = ("body", "description", "name", "weight")

    def __init__(self, name: str, weight: float, body: FaultBody) -> None:
        self.name = name
        self.weight = weight
        self.body = body
        self.description = (body.__doc__ or "").strip().splitlines()[0]


class DrawnFault:
    """A fault that happens ``gap`` seconds after the one before; ``seed`` decides its choices."""

    __slots__ = ("gap", "kind", "seed")

    def __init__(self, kind: FaultKind, gap: float, seed: str) -> None:
        self.kind = kind
        self.gap = gap
        self.seed = seed


_REGISTRY: dict[Lane, list[FaultKind]] = {lane: [] for lane in Lane}


def fault(name: str, *lanes: Lane, weight: float = 1.0) -> Callable[[FaultBody], FaultBody]:
    """Register the decorated function as a kind of fault of these lanes."""

    def register(body: FaultBody) -> FaultBody:
        kind = FaultKind(name, weight, body)
        for lane in lanes:
            _REGISTRY[lane].append(kind)
        return body

    return register


def kinds_of(lane: Lane) -> tuple[FaultKind, ...]:
    """Return the kinds of a lane, in the order of their definition."""
    for name in FAULT_MODULES:
        importlib.import_module(name)
    return tuple(_REGISTRY[lane])


def draw_faults(lane: Lane, seed: int) -> Iterator[DrawnFault]:
    """Yield the endless series of a lane; the same for the same seed."""
    chooser = random.Random(f"{seed}:{lane}")
    kinds = kinds_of(lane)
    weights = [kind.weight for kind in kinds]
    kind, index = kinds[0], 0
    while True:
        gap = chooser.expovariate(1 / MEAN_GAP_SECONDS[lane])
        yield DrawnFault(kind, gap, f"{seed}:{lane}:{index}")
        kind = chooser.choices(kinds, weights)[0]
        index += 1
