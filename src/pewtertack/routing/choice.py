"""Choice of a back end: the better of two drawn at random."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from pewtertack.routing.backend import Backend


def choose(backends: Sequence[Backend], random: Random) -> Backend | None:
    """Return the less busy of two back ends drawn at random; ``None`` without any."""
    usable = [backend for backend in backends if not backend.leaving]
    if not usable:
        return None
    if len(usable) == 1:
        return usable[0]
    first, second = random.sample(usable, 2)
    return second if second.in_flight < first.in_flight else first
