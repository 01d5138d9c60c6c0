"""Eras of the source: how often it has been restored from a copy that lacks its last writes.

Revisions only rise within an era. With a new era they go back, and the same revisions are assigned
again to other writes. Document numbers combine era and revision into one integer, ordered by era
first, so code that compares, stores, announces or pulls documents need not know about eras.
A source without eras is in era 0, where the numbers are those of the plain revisions.

A number's layout says how much room it has for the minor part of its pair, the revision or the
logical time. The first layouts keep the numbers short, and are those of earlier builds; a source
whose revision outgrows one changes to the next, all of whose numbers are higher.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import ClassVar

import msgspec

from pewtertack.errors import PlatformError

REVISIONS_PER_ERA = 2**40
"""A machine list's number is the era times this plus the revision, up to this revision."""
TREE_NUMBERS_PER_VERSION = 1_000_000_000
"""A tree's number is the operator's version times this, plus the logical time as of which the
evacuations are known, where any are involved; up to this logical time of the source. An evacuation
does not change the version, but all readers must give the same tree the same number, and never one
number to two trees."""
LOGICAL_TIMES_PER_ERA = 2**18
"""Every logical time of an era follows all of the era before, provided that a restore loses fewer
writes than this: 1,700 entries written ten times a second for 15 s."""
ERA_MAX = 2048
"""The highest era that is accepted from a source."""


class NumberRangeError(PlatformError):
    """A version, era or revision of the source is out of the range that numbers can hold."""

    code: ClassVar[str] = "number-range"


class _Layout(msgspec.Struct, frozen=True):
    """The numbers from ``start`` to below ``end``, ``width`` of them for each major part."""

    start: int
    width: int
    end: float = math.inf

    def number(self, major: int, minor: int) -> int:
        return self.start + major * self.width + minor

    def has_room(self, major: int, minor: int) -> bool:
        return major >= 0 and 0 <= minor < self.width and self.number(major + 1, 0) <= self.end


_LIST_LAYOUTS = (
    _Layout(0, REVISIONS_PER_ERA, end=2**64),
    _Layout(2**64, 2**64),
)
_TREE_LAYOUTS = (
    _Layout(0, TREE_NUMBERS_PER_VERSION, end=2**62),
    _Layout(2**62, 2**40, end=2**63),  # all parsers of JSON and MessagePack accept its numbers
    _Layout(2**64, 2**64),
)


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


def list_number(era: int, revision: int, held: int = 0) -> int:
    """Return the number of the machine list as of ``revision``.

    Args:
        era: the source's era.
        revision: the source's revision.
        held: the newest number known; the result does not fall behind its layout.

    Raises:
        NumberRangeError: the era or the revision is out of range.
    """
    return _layout_for(_LIST_LAYOUTS, era, (revision,), held).number(era, revision)


def era_of(number: int) -> int:
    """Return the era of a machine list's number."""
    return _split(_LIST_LAYOUTS, number)[0]


def revision_of(number: int) -> int:
    """Return the source's revision of a machine list's number."""
    return _split(_LIST_LAYOUTS, number)[1]


def logical_time(era: int, revision: int) -> int:
    """Return (era, revision) as one integer, for use within the tree numbers of one version."""
    return era * LOGICAL_TIMES_PER_ERA + revision


def tree_number(version: int, tree_time: int = 0, source_time: int = 0, held: int = 0) -> int:
    """Return a tree's number.

    Args:
        version: the operator's version.
        tree_time: a logical time, 0 if no evacuation is involved.
        source_time: the logical time as of which the source was read. It decides on the layout,
            so that readers agree on it whatever they hold.
        held: the newest number known; the result does not fall behind its layout.

    Raises:
        NumberRangeError: the version or a time is out of range.
    """
    layout = _layout_for(_TREE_LAYOUTS, version, (tree_time, source_time), held)
    return layout.number(version, tree_time)


def split_tree_number(number: int) -> tuple[int, int]:
    """Return the version and the logical time in a tree's number."""
    return _split(_TREE_LAYOUTS, number)


def _layout_for(
    layouts: Sequence[_Layout], major: int, minors: Sequence[int], held: int
) -> _Layout:
    """Return the first layout with room for all pairs that is not before the layout of ``held``."""
    for layout in layouts:
        if held < layout.end and all(layout.has_room(major, minor) for minor in minors):
            return layout
    raise NumberRangeError(f"({major}, {max(minors)}) has no number")


def _split(layouts: Sequence[_Layout], number: int) -> tuple[int, int]:
    layout = next(item for item in layouts if number < item.end)
    return divmod(number - layout.start, layout.width)
