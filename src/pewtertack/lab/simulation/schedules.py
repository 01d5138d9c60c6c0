"""Schedules of faults and edits, which are kept as JSON files once they have failed.

Times are in seconds of virtual time. Nodes and zones are given by index; indexes from
``Schedule.nodes`` or ``Schedule.zones`` upwards wrap around.
"""

from __future__ import annotations

from enum import StrEnum
from typing import ClassVar

import msgspec

from pewtertack.errors import LabError


class ScheduleError(LabError):
    """A schedule cannot be decoded."""

    code: ClassVar[str] = "schedule"


class Direction(StrEnum):
    """Direction in which a cut drops messages, as seen from the zone."""

    BOTH = "both"
    IN = "in"
    OUT = "out"


class Step(msgspec.Struct, frozen=True, tag_field="do", kw_only=True):
    """Base of all steps; the next step begins ``wait`` seconds after this one."""

    wait: float = 0.0


class KillNodes(Step, frozen=True, tag="kill"):
    """Kill nodes at the same time; start replacements with the same names later."""

    nodes: tuple[int, ...]
    back_after: float = 1.0


class PauseNodes(Step, frozen=True, tag="pause"):
    """Pause nodes for some seconds."""

    nodes: tuple[int, ...]
    seconds: float


class DrainNode(Step, frozen=True, tag="drain"):
    """Shut a node down gracefully and start a replacement later."""

    node: int
    back_after: float = 4.0


class CutZone(Step, frozen=True, tag="cut"):
    """Drop the messages between a zone and all others, in one or both directions."""

    zone: int
    direction: Direction
    seconds: float


class SourceOutage(Step, frozen=True, tag="outage"):
    """Make all reads of the source, and optionally of the machine list, fail."""

    seconds: float
    machine_list: bool = False


class SourceStale(Step, frozen=True, tag="stale"):
    """Make the source serve an older version.

    With ``share`` 1, the source goes back by ``versions``. Otherwise this fraction of the
    responses contains the version before the newest one.
    """

    seconds: float
    versions: int = 1
    share: float = 1.0


class DegradeNetwork(Step, frozen=True, tag="weather"):
    """Lose, duplicate and reorder messages with these probabilities."""

    seconds: float
    loss: float = 0.0
    duplication: float = 0.0
    reordering: float = 0.0


class EditTree(Step, frozen=True, tag="edit"):
    """Edit the tree ``count`` times in a row; the trees of invalid edits fail validation.

    A forked edit writes two trees with the same number, each of which some readers get.
    """

    valid: bool = True
    count: int = 1
    forked: bool = False


AnyStep = (
    KillNodes
    | PauseNodes
    | DrainNode
    | CutZone
    | SourceOutage
    | SourceStale
    | DegradeNetwork
    | EditTree
)


class Schedule(msgspec.Struct, frozen=True):
    """A run: the fleet forms, the steps are applied, then the fleet recovers."""

    seed: int
    steps: tuple[AnyStep, ...]
    nodes: int = 9
    zones: int = 3
    profile: str = "fast"


def decode_schedule(text: bytes) -> Schedule:
    """Decode a schedule from JSON.

    Raises:
        ScheduleError: the text is not a valid schedule.
    """
    try:
        return msgspec.json.decode(text, type=Schedule)
    except msgspec.MsgspecError as error:
        raise ScheduleError(str(error)) from error


def encode_schedule(schedule: Schedule) -> bytes:
    """Encode ``schedule`` as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(schedule), indent=1) + b"\n"
