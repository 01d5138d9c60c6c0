"""Many long answers at once, so that they wait for their turns on the machines' links."""

from __future__ import annotations

import random

from pewtertack.lab.soak.context import SoakContext
from pewtertack.lab.soak.faults import Lane, fault

LASTS_SECONDS = (4.0, 8.0)
"""Long enough for the lines to grow, and for stops of nodes meanwhile."""


@fault("downloads", Lane.DOWNLOADS)
async def downloads(soak: SoakContext, chooser: random.Random) -> None:
    """Callers of all nodes ask for long answers; then the lines run empty."""
    await soak.download(chooser.uniform(*LASTS_SECONDS))
