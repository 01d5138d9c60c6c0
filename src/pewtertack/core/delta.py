"""Differences between two documents, as a list of edits by path.

A delta describes the document as operators write it, before inheritance is resolved: changing
a default near the root is one edit, however many routes inherit the value.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from typing import Any, ClassVar

import msgspec

from pewtertack.core.revision import Document, RevisionId, have_same_content, revision_id_of
from pewtertack.core.slices import Work, run_to_completion
from pewtertack.errors import CoordinationError

ENTRIES_PER_STEP = 100
"""Entries of one table that are compared in one step of sliced work."""
UNITS_PER_STEP = 10
"""Work units that one such step counts as."""

Path = tuple[str, ...]


class DeltaMismatchError(CoordinationError):
    """A delta does not fit its base document, or the result has another digest."""

    code: ClassVar[str] = "delta-mismatch"


class SetValue(msgspec.Struct, frozen=True, array_like=True, tag=0):
    """Set the value at ``path``, creating missing objects along the path."""

    path: Path
    value: Any


class DeleteValue(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Delete the value at ``path``."""

    path: Path


Edit = SetValue | DeleteValue


class Delta(msgspec.Struct, frozen=True, array_like=True):
    """The edits that turn the document of revision ``base`` into that of ``target``."""

    base: RevisionId
    target: RevisionId
    edits: tuple[Edit, ...]


def compare(old: Document, new: Document) -> tuple[Edit, ...]:
    """Return the edits that turn ``old`` into ``new``, in a stable order."""
    return run_to_completion(compare_in_slices(old, new))


def compare_in_slices(old: Document, new: Document) -> Work[tuple[Edit, ...]]:
    """Compute the result of ``compare`` as sliced work."""
    edits: list[Edit] = []
    for edit in _edits_between(old, new, ()):
        if edit is None:
            yield UNITS_PER_STEP
        else:
            edits.append(edit)
    return tuple(edits)


def _edits_between(old: Document, new: Document, path: Path) -> Iterator[Edit | None]:
    """Yield the edits, and ``None`` after every ``ENTRIES_PER_STEP`` compared entries."""
    for key in sorted(old.keys() - new.keys()):
        yield DeleteValue((*path, key))
    for count, key in enumerate(sorted(new), 1):
        if count % ENTRIES_PER_STEP == 0:
            yield None
        if key in old and old[key] is new[key]:
            continue  # documents made by deltas share the objects that did not change
        here = (*path, key)
        if key not in old:
            yield SetValue(here, new[key])
        elif isinstance(old[key], dict) and isinstance(new[key], dict):
            if len(old[key]) != len(new[key]) or not have_same_content(old[key], new[key]):
                yield from _edits_between(old[key], new[key], here)
        elif not _is_same_value(old[key], new[key]):
            yield SetValue(here, new[key])


def _is_same_value(left: Any, right: Any) -> bool:
    """Compare two values as digests do: ``1``, ``1.0`` and ``True`` are three values."""
    if type(left) is not type(right):
        return False
    if isinstance(left, list):
        return len(left) == len(right) and all(map(_is_same_value, left, right))
    if isinstance(left, dict):
        return left.keys() == right.keys() and all(
            _is_same_value(value, right[key]) for key, value in left.items()
        )
    return bool(left == right)


def apply_delta(delta: Delta, document: Document) -> Document:
    """Return a new document with the delta applied; ``document`` is not modified.

    Raises:
        DeltaMismatchError: an edit's path does not exist, or the digest differs.
    """
    result = apply_edits(document, delta.edits)
    if revision_id_of(delta.target.number, result) != delta.target:
        raise DeltaMismatchError(
            f"applying the delta to {delta.target} gives a document with another digest"
        )
    return result


def apply_edits(document: Document, edits: Iterable[Edit]) -> Document:
    """Return a new document with the edits applied; ``document`` is not modified.

    Raises:
        DeltaMismatchError: an edit's path does not exist.
    """
    root = _TableCopy(document)
    for edit in edits:
        root.apply(edit)
    return root.table


class _TableCopy:
    """A modified copy of a table, with copies of the nested tables that are modified too.

    Each table is copied once, however many edits there are below it; unmodified tables are
    shared with the original document.
    """

    __slots__ = ("_children", "table")

    def __init__(self, table: Mapping[str, Any]) -> None:
        self.table = dict(table)
        self._children: dict[str, _TableCopy] = {}

    def apply(self, edit: Edit) -> None:
        """Apply an edit whose path starts at this table.

        Raises:
            DeltaMismatchError: the path does not exist.
        """
        if not edit.path:
            raise DeltaMismatchError("the edit has an empty path")
        table_copy, key = self, edit.path[-1]
        for name in edit.path[:-1]:
            table_copy = table_copy._child(name, edit)
        table_copy._children.pop(key, None)
        if isinstance(edit, SetValue):
            table_copy.table[key] = edit.value
        elif key in table_copy.table:
            del table_copy.table[key]
        else:
            raise DeltaMismatchError(f"no value to delete at {'.'.join(edit.path)}")

    def _child(self, name: str, edit: Edit) -> _TableCopy:
        child = self._children.get(name)
        if child is None:
            table = self.table.get(name, {})
            if not isinstance(table, dict):
                raise DeltaMismatchError(f"a parent of {'.'.join(edit.path)} is not an object")
            child = self._children[name] = _TableCopy(table)
            self.table[name] = child.table
        return child
