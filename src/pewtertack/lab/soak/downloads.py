"""Many concurrent long responses, which wait for their turns on the links of machines."""

from __future__ import annotations

import random

from pewtertack.lab.soak.context import SoakContext
from pewtertack.lab.soak.faults import Lane, fault

DURATION_SECONDS = (4.0, 8.0)
"""Long enough for link queues to grow and for nodes to stop meanwhile."""


@fault("downloads", Lane.DOWNLOADS)
async def downloads(soak: SoakContext, chooser: random.Random) -> None:
    """Callers of all nodes request long responses; then the link queues drain."""
    await soak.download(chooser.uniform(*DURATION_SECONDS))
