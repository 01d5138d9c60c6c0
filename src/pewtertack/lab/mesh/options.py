"""Options of a run of the mesh."""

from __future__ import annotations

from pathlib import Path

import msgspec

from pewtertack.lab.errors import LabUsageError
from pewtertack.lab.mesh.faults import OMITTABLE
from pewtertack.lab.mesh.shapes import MeshShape


class MeshOptions(msgspec.Struct, frozen=True):
    """Options of one run.

    Raises:
        LabUsageError: an option is out of range.
    """

    shape: MeshShape
    template: Path
    """The template of the nodes' settings."""
    seed: int
    seconds: float
    """Seconds of faults."""
    load: float = 0.5
    """Factor on the shape's rate of calls."""
    without: frozenset[str] = frozenset()
    """Lanes and faults of answers that are left out, to tell causes apart."""

    def __post_init__(self) -> None:
        """Check the options."""
        if self.seconds <= 0 or self.load <= 0:
            raise LabUsageError("seconds and load must be positive")
        unknown = self.without - OMITTABLE
        if unknown:
            names = ", ".join(sorted(OMITTABLE))
            raise LabUsageError(f"cannot leave out {sorted(unknown)}; accepted: {names}")
        if not self.template.is_file():
            raise LabUsageError(f"no template of settings: {self.template}")
