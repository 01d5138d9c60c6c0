"""Building the configuration tree, and its number, from the operator's items.

An evacuation changes the tree but not the operator's version. All readers must give the same tree
the same number, and never one number to two trees. In an era that began with a restore from a
copy, what the node holds takes precedence over the copy: the version never goes back, and known
evacuations stay valid for a hold period.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

from pewtertack.core.configuration.model import RootSection
from pewtertack.core.effects import ReadDocument
from pewtertack.core.eras import logical_time, split_tree_number, tree_number
from pewtertack.core.inputs import DocumentRead, DocumentUnchanged
from pewtertack.core.items import ItemFinding, ItemFormatError, valid_evacuated_zones
from pewtertack.core.source_mirror import Mirror

FIRST_TREE_NUMBER = 1
"""The number of version 0 without evacuations, because the number 0 stands for no tree."""

TreeReader = Callable[[bytes, Sequence[str]], tuple[int, dict[str, Any]]]
"""Parses a configuration's bytes, given the evacuated zones, into its version and tree."""
_ParsedTree = tuple[int, dict[str, Any], tuple[ItemFinding, ...]]
"""A version, its tree, and findings about a newer configuration that is invalid."""


def tree_document(
    effect: ReadDocument,
    mirror: Mirror,
    key: str,
    tree_of: TreeReader,
    in_hold_period: bool,
    stale: bool = False,
) -> DocumentRead | DocumentUnchanged:
    """Return the mirror's tree, or that it has nothing newer than the held tree.

    Args:
        effect: the read request, which describes what the node holds.
        mirror: the operator's items.
        key: the key of the configuration among them.
        tree_of: parses the configuration.
        in_hold_period: whether the mirror's era has just begun, so that evacuations known before
            it stay valid until the era reports a change of them.
        stale: whether the mirror may be some seconds old.

    Raises:
        ItemFormatError: there is a configuration, but no valid one.
        NumberRangeError: the source's version, era or revision is out of range.
    """
    kind, era = effect.kind, mirror.era or 0
    evacuated, findings = valid_evacuated_zones(_evacuated_zones(effect, mirror, in_hold_period))
    parsed = _parse_tree(mirror, key, tree_of, evacuated)
    if parsed is None:
        return DocumentUnchanged(kind)
    version, tree, invalid = _held_if_newer(effect, parsed, evacuated) if era else parsed
    held_version, held_time = split_tree_number(effect.after)
    tree_time = logical_time(era, mirror.change_revision)
    evacuations_ended = held_version == version and tree_time >= held_time > 0
    number = (
        tree_number(
            version,
            tree_time if evacuated or evacuations_ended else 0,
            source_time=tree_time,
            held=effect.after,
        )
        or FIRST_TREE_NUMBER
    )
    if invalid and number < effect.after:
        return DocumentUnchanged(kind)  # others read a newer version before it became invalid
    if era and _has_nothing_new(effect, number, evacuated):
        return DocumentUnchanged(kind)
    mirror.tree_number = number
    return DocumentRead(kind, number, tree, stale, (*invalid, *findings))


def evacuations_differ(effect: ReadDocument, mirror: Mirror, in_hold_period: bool) -> bool:
    """Tell whether the node holds other evacuations than the mirror, which has not changed.

    If so, the mirror's tree is numbered by the mirror's watch revision from now on, which is newer
    than the held tree.
    """
    if mirror.era:
        return _evacuations_differ_in_era(effect, mirror, in_hold_period)
    return _holds_ended_evacuation(effect, mirror)


def _holds_ended_evacuation(effect: ReadDocument, mirror: Mirror) -> bool:
    """Tell whether the node may hold an evacuation that has ended.

    An item that was deleted before the first list leaves no trace in the mirror.
    """
    if mirror.tree_number >= effect.after:
        return False
    version, held_time = split_tree_number(effect.after)
    if split_tree_number(mirror.tree_number)[0] != version or mirror.evacuated_zones():
        return False
    if not 0 < held_time < mirror.watch_revision:
        return False
    mirror.change_revision = mirror.watch_revision
    return True


def _evacuations_differ_in_era(effect: ReadDocument, mirror: Mirror, in_hold_period: bool) -> bool:
    evacuated, _ = valid_evacuated_zones(_evacuated_zones(effect, mirror, in_hold_period))
    if evacuated == sorted(effect.evacuated_zones):
        return False
    if logical_time(mirror.era or 0, mirror.watch_revision) <= split_tree_number(effect.after)[1]:
        return False
    mirror.change_revision = mirror.watch_revision
    return True


def _evacuated_zones(effect: ReadDocument, mirror: Mirror, in_hold_period: bool) -> list[str]:
    """Return the zones that the tree must list as evacuated.

    A node that holds nothing reads the version alone; its peers know which zones were evacuated
    before the era.
    """
    listed = mirror.evacuated_zones()
    if not mirror.era:
        return listed
    if effect.after == 0:
        return []
    if not in_hold_period:
        return listed
    held = {zone for zone in effect.evacuated_zones if not mirror.has_reported_evacuation(zone)}
    if effect.doubts_copy:
        listed = [
            zone
            for zone in listed
            if zone in effect.evacuated_zones or not mirror.shows_restored_evacuation(zone)
        ]
    return sorted(held | {zone for zone in listed if not _has_ended(effect, mirror, zone)})


def _has_ended(effect: ReadDocument, mirror: Mirror, zone: str) -> bool:
    """Tell whether a restored copy contains an evacuation that had ended.

    This does not apply to a held one: another node, which had not seen the end, has adopted it.
    """
    created_until = effect.ended_evacuations.get(zone)
    return (
        created_until is not None
        and zone not in effect.evacuated_zones
        and mirror.shows_restored_evacuation(zone, created_until)
    )


def _has_nothing_new(effect: ReadDocument, number: int, evacuated: list[str]) -> bool:
    same_version = split_tree_number(number)[0] == split_tree_number(effect.after)[0]
    if same_version and evacuated == sorted(effect.evacuated_zones):
        return True
    return number <= effect.after


def _held_if_newer(effect: ReadDocument, parsed: _ParsedTree, evacuated: list[str]) -> _ParsedTree:
    """Return the held tree instead of an older version from a restored copy.

    This applies evacuations of the new era to the version in force, whichever node reads them.
    """
    held_version = split_tree_number(effect.held_revision.number)[0]
    if effect.held_tree is None or held_version <= parsed[0]:
        return parsed
    tree = {**effect.held_tree, RootSection.EVACUATED_ZONES.value: list(evacuated)}
    if not evacuated:
        del tree[RootSection.EVACUATED_ZONES.value]
    return held_version, tree, ()


def _parse_tree(
    mirror: Mirror, key: str, tree_of: TreeReader, evacuated: list[str]
) -> _ParsedTree | None:
    """Return the version and the tree of the newest valid configuration; ``None`` without any.

    Raises:
        ItemFormatError: there is a configuration, but no valid one.
    """
    value = mirror.items.get(key, mirror.last_readable or None)
    if value is None:
        return None
    try:
        version, tree = tree_of(value, evacuated)
    except ItemFormatError as error:
        if not mirror.last_readable:
            raise
        version, tree = tree_of(mirror.last_readable, evacuated)
        return version, tree, (error.finding_for(key),)
    if mirror.era and mirror.last_readable_version > version:
        version, tree = tree_of(mirror.last_readable, evacuated)
        return version, tree, ()  # acknowledged before the restore brought an older one back
    mirror.last_readable, mirror.last_readable_version = value, version
    return version, tree, ()
