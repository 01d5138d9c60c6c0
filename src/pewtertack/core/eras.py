"""Eras of the source: how often it has been restored from a copy that lacks its last writes.

Revisions only rise within an era. With a new era they go back, and the same revisions are assigned
again to other writes. Document numbers combine era and revision into one integer, ordered by era
first, so code that compares, stores, announces or pulls documents need not know about eras.
A source without eras is in era 0, where the numbers are those of the plain revisions.
"""

from __future__ import annotations

import msgspec

REVISIONS_PER_ERA = 2**40
"""A machine list's number is the era times this plus the revision: enough for some thousand years
of writes."""
TREE_NUMBERS_PER_VERSION = 1_000_000_000
"""A tree's number is the operator's version times this, plus the logical time as of which the
evacuations are known, where any are involved. An evacuation does not change the version, but
all readers must give the same tree the same number, and never one number to two trees."""
LOGICAL_TIMES_PER_ERA = 2**18
"""Every logical time of an era follows all of the era before, provided that a restore loses fewer
writes than this: 1,700 entries written ten times a second for 15 s."""
ERA_MAX = 2048
"""Up to this era logical times are below ``TREE_NUMBERS_PER_VERSION``, with space for 460 million
revisions."""


class EraChange(msgspec.Struct, frozen=True):
    """How the first machine list of a new era differs from what was known before."""

    old: int
    new: int
    lost: int
    """Number of known back ends that the list lacks."""
    kept: int
    """Number of those that stay in use for now."""
    came_back: int
    """Number of back ends that the list contains although they had left."""


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
    """Return (era, revision) as one integer, for use within the tree numbers of one version."""
    return era * LOGICAL_TIMES_PER_ERA + revision


def tree_number(version: int, tree_time: int = 0) -> int:
    """Return a tree's number; ``tree_time`` is a logical time, 0 if no evacuation is involved."""
    return version * TREE_NUMBERS_PER_VERSION + tree_time


def split_tree_number(number: int) -> tuple[int, int]:
    """Return the version and the logical time in a tree's number."""
    return divmod(number, TREE_NUMBERS_PER_VERSION)
