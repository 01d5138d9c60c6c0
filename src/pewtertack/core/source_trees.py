"""The tree that the operator's items make, and its number.

An evacuation changes the tree but not the operator's version: all readers must number the same
tree alike, and never two trees. In an era that began with a copy, what is held goes before what
the copy says: a version never goes back, and evacuations that were known hold for a while.
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

FIRST_NUMBER = 1
"""Of version 0 without evacuations: the number 0 stands for no tree."""

TreeReader = Callable[[bytes, Sequence[str]], tuple[int, dict[str, Any]]]
"""Reads a configuration's bytes as version and tree while some zones are evacuated."""
_Read = tuple[int, dict[str, Any], tuple[ItemFinding, ...]]
"""A version, its tree, and what was passed over."""


def tree_document(
    effect: ReadDocument,
    mirror: Mirror,
    key: str,
    tree_of: TreeReader,
    holds: bool,
    stale: bool = False,
) -> DocumentRead | DocumentUnchanged:
    """Return the mirror's tree, or that it says nothing newer than what is held.

    Args:
        effect: what is asked, and what is held.
        mirror: the operator's items.
        key: of the configuration among them.
        tree_of: reads it.
        holds: whether the mirror's era has just begun: evacuations known before it hold until it
            says anything of them.
        stale: whether the mirror may be some seconds old.

    Raises:
        ItemFormatError: there is a configuration, but none that can be read.
    """
    kind, era = effect.kind, mirror.era or 0
    evacuated, findings = valid_evacuated_zones(_zones(effect, mirror, holds))
    read = _read_tree(mirror, key, tree_of, evacuated)
    if read is None:
        return DocumentUnchanged(kind)
    version, tree, unreadable = _held_if_newer(effect, read, evacuated) if era else read
    version_held, known_until = split_tree_number(effect.after)
    moment = logical_time(era, mirror.change_revision)
    returned = version_held == version and moment >= known_until > 0
    number = tree_number(version, moment if evacuated or returned else 0) or FIRST_NUMBER
    if unreadable and number < effect.after:
        return DocumentUnchanged(kind)  # others have read a newer one before it was spoilt
    if era and _says_nothing_new(effect, number, evacuated):
        return DocumentUnchanged(kind)
    mirror.tree_number = number
    return DocumentRead(kind, number, tree, stale, (*unreadable, *findings))


def evacuations_differ(effect: ReadDocument, mirror: Mirror, holds: bool) -> bool:
    """Tell whether who asks holds other evacuations than the mirror, which has not changed.

    The mirror's state is that of its cursor, which is newer than what is held: its tree is
    numbered by that from now on.
    """
    if mirror.era:
        return _lacks_evacuations(effect, mirror, holds)
    return _lacks_return(effect, mirror)


def _lacks_return(effect: ReadDocument, mirror: Mirror) -> bool:
    """Tell whether who asks may hold an evacuation that is over.

    An item that was gone before the first list has left no trace there.
    """
    if mirror.tree_number >= effect.after:
        return False
    version, known_until = split_tree_number(effect.after)
    if split_tree_number(mirror.tree_number)[0] != version or mirror.evacuated_zones():
        return False
    if not 0 < known_until < mirror.watch_revision:
        return False
    mirror.change_revision = mirror.watch_revision
    return True


def _lacks_evacuations(effect: ReadDocument, mirror: Mirror, holds: bool) -> bool:
    evacuated, _ = valid_evacuated_zones(_zones(effect, mirror, holds))
    if evacuated == sorted(effect.evacuated_zones):
        return False
    if logical_time(mirror.era or 0, mirror.watch_revision) <= split_tree_number(effect.after)[1]:
        return False
    mirror.change_revision = mirror.watch_revision
    return True


def _zones(effect: ReadDocument, mirror: Mirror, holds: bool) -> list[str]:
    """Return the zones that the tree is to name.

    A node that holds nothing asks for the version alone: which evacuations held before the
    era its peers know.
    """
    shown = mirror.evacuated_zones()
    if not mirror.era:
        return shown
    if effect.after == 0:
        return []
    if not holds:
        return shown
    held = {zone for zone in effect.evacuated_zones if not mirror.has_reported_evacuation(zone)}
    if effect.doubts_copy:
        shown = [
            zone
            for zone in shown
            if zone in effect.evacuated_zones or not mirror.shows_restored_evacuation(zone)
        ]
    return sorted(held | {zone for zone in shown if not _has_ended(effect, mirror, zone)})


def _has_ended(effect: ReadDocument, mirror: Mirror, zone: str) -> bool:
    """Tell whether a copy shows an evacuation that had ended.

    Unless it is held: another node, who had not seen the end, has shown it.
    """
    until = effect.ended_evacuations.get(zone)
    return (
        until is not None
        and zone not in effect.evacuated_zones
        and mirror.shows_restored_evacuation(zone, until)
    )


def _says_nothing_new(effect: ReadDocument, number: int, evacuated: list[str]) -> bool:
    same_version = split_tree_number(number)[0] == split_tree_number(effect.after)[0]
    if same_version and evacuated == sorted(effect.evacuated_zones):
        return True
    return number <= effect.after


def _held_if_newer(effect: ReadDocument, read: _Read, evacuated: list[str]) -> _Read:
    """Return the held tree in place of an older version of a copy.

    So that evacuations of the new era show on the version in force, whoever has read it.
    """
    version_held = split_tree_number(effect.held_revision.number)[0]
    if effect.held_tree is None or version_held <= read[0]:
        return read
    tree = {**effect.held_tree, RootSection.EVACUATED_ZONES.value: list(evacuated)}
    if not evacuated:
        del tree[RootSection.EVACUATED_ZONES.value]
    return version_held, tree, ()


def _read_tree(mirror: Mirror, key: str, tree_of: TreeReader, evacuated: list[str]) -> _Read | None:
    """Return the version and the tree of the newest configuration that can be read.

    Raises:
        ItemFormatError: there is one, but none that can be read.
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
        return version, tree, (error.about(key),)
    if mirror.era and mirror.last_readable_version > version:
        version, tree = tree_of(mirror.last_readable, evacuated)
        return version, tree, ()  # acknowledged before the copy's came back
    mirror.last_readable, mirror.last_readable_version = value, version
    return version, tree, ()
