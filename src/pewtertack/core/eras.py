"""Eras of the source: how often it has come back from a copy that lacks its last writes.

Within an era revisions only rise; with a new one they go back and are given out again. Numbers of
documents stay single integers that order (era, revision): whatever compares, holds, announces or
pulls them needs to know nothing of eras. Era 0, that of a source without eras, gives the numbers
that it would have without this module.
"""

from __future__ import annotations

import msgspec

REVISIONS_PER_ERA = 2**40
"""A list's number is the era times this plus the revision: some thousand years of writes."""
TREE_NUMBERS_PER_VERSION = 1_000_000_000
"""A tree's number is the operator's version times this, plus the moment as of which the
evacuations are known, where any play a part. An evacuation does not change the version;
all readers must number the same tree alike, and never two trees."""
LOGICAL_TIMES_PER_ERA = 2**18
"""A moment of an era comes after all of the era before if no return loses so many writes: 1,700
entries written ten times a second for 15 s."""
ERA_MAX = 2048
"""Up to it moments are below ``TREE_NUMBERS_PER_VERSION``, with room for 460 million revisions."""


class EraChange(msgspec.Struct, frozen=True):
    """What the first list of a new era says, against what was known before."""

    old: int
    new: int
    lost: int
    """Back ends that the list lacks."""
    kept: int
    """How many of them are kept for now."""
    came_back: int
    """Back ends that the list names although they had left."""


def list_number(era: int, revision: int) -> int:
    """Return the number of the machine list as of ``revision``."""
    return era * REVISIONS_PER_ERA + revision


def era_of(number: int) -> int:
    """Return the era of a machine list's number."""
    return number // REVISIONS_PER_ERA


def revision_of(number: int) -> int:
    """Return the source's revision of a machine list's number."""
    return number % REVISIONS_PER_ERA


def logical_time(era: int, revision: int) -> int:
    """Return what stands for (era, revision) within the numbers of one version's trees."""
    return era * LOGICAL_TIMES_PER_ERA + revision


def tree_number(version: int, moment: int = 0) -> int:
    """Return the number of a version's tree; ``moment`` where evacuations play a part."""
    return version * TREE_NUMBERS_PER_VERSION + moment


def split_tree_number(number: int) -> tuple[int, int]:
    """Return version and moment of a tree's number."""
    return divmod(number, TREE_NUMBERS_PER_VERSION)
