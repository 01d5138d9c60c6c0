"""Schedules of faults and edits, as data: a failing one is kept as a JSON file.

Times are seconds of virtual time. Nodes are numbers below ``Schedule.nodes``,
zones numbers below ``Schedule.zones``; larger numbers wrap round.
"""

from __future__ import annotations

from enum import StrEnum
from typing import ClassVar

import msgspec

from pewtertack.errors import LabError


class ScheduleError(LabError):
    """A schedule cannot be read."""

    code: ClassVar[str] = "schedule"


class Direction(StrEnum):
    """Which way a cut loses messages."""

    BOTH = "both"
    IN = "in"
    OUT = "out"


class Step(msgspec.Struct, frozen=True, tag_field="do", kw_only=True):
    """Base of all steps; ``wait`` passes after it was begun."""

    wait: float = 0.0


class KillNodes(Step, frozen=True, tag="kill"):
    """Kill nodes at once and start replacements under the same names later."""

    nodes: tuple[int, ...]
    back_after: float = 1.0


class PauseNodes(Step, frozen=True, tag="pause"):
    """Pause nodes for a while."""

    nodes: tuple[int, ...]
    seconds: float


class DrainNode(Step, frozen=True, tag="drain"):
    """Stop a node by plan and start a replacement later."""

    node: int
    back_after: float = 4.0


class CutZone(Step, frozen=True, tag="cut"):
    """Cut a zone off from all others, one way or both, for a while."""

    zone: int
    direction: Direction
    seconds: float


class SourceOutage(Step, frozen=True, tag="outage"):
    """The source, and perhaps the machine list, fails for a while."""

    seconds: float
    machine_list: bool = False


class SourceStale(Step, frozen=True, tag="stale"):
    """The source goes back by some versions for a while; ``share`` of answers if set."""

    seconds: float
    versions: int = 1
    share: float = 1.0


class DegradeNetwork(Step, frozen=True, tag="weather"):
    """Messages are lost, repeated and reordered with these probabilities for a while."""

    seconds: float
    loss: float = 0.0
    duplication: float = 0.0
    reordering: float = 0.0


class EditTree(Step, frozen=True, tag="edit"):
    """Operators edit the tree ``count`` times in a row; an invalid edit breaks a rule.

    A forked edit is two trees under one number, each of which some readers get.
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
    """A run: a fleet that settles, the steps, and time for the fleet to recover."""

    seed: int
    steps: tuple[AnyStep, ...]
    nodes: int = 9
    zones: int = 3
    profile: str = "fast"


def decode_schedule(text: bytes) -> Schedule:
    """Read a schedule from JSON.

    Raises:
        ScheduleError: the text is no schedule.
    """
    try:
        return msgspec.json.decode(text, type=Schedule)
    except msgspec.MsgspecError as error:
        raise ScheduleError(str(error)) from error


def encode_schedule(schedule: Schedule) -> bytes:
    """Return ``schedule`` as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(schedule), indent=1) + b"\n"
