"""Differences between two documents, as a list of edits by path.

A delta carries what operators changed, unresolved: an edit of a default near
the root is one edit, however many routes inherit it.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from typing import Any, ClassVar

import msgspec

from pewtertack.core.revision import Document, RevisionId, have_same_content, revision_id_of
from pewtertack.core.slices import Work, run_to_completion
from pewtertack.errors import CoordinationError

COMPARED_AT_ONCE = 100
"""Entries of one table that are compared in one step."""
COMPARED_UNITS = 10
"""Units of one such step."""

Path = tuple[str, ...]


class DeltaMismatchError(CoordinationError):
    """A delta does not fit the document it was applied to, or yields another digest."""

    code: ClassVar[str] = "delta-mismatch"


class SetValue(msgspec.Struct, frozen=True, array_like=True, tag=0):
    """Put ``value`` at ``path``, creating the objects on the way."""

    path: Path
    value: Any


class DeleteValue(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Remove what stands at ``path``."""

    path: Path


Edit = SetValue | DeleteValue


class Delta(msgspec.Struct, frozen=True, array_like=True):
    """The edits that turn the document of ``base`` into that of ``target``."""

    base: RevisionId
    target: RevisionId
    edits: tuple[Edit, ...]


def compare(old: Document, new: Document) -> tuple[Edit, ...]:
    """Return the edits that turn ``old`` into ``new``, in a stable order."""
    return run_to_completion(compare_in_slices(old, new))


def compare_in_slices(old: Document, new: Document) -> Work[tuple[Edit, ...]]:
    """Do what ``compare`` does, in slices."""
    edits: list[Edit] = []
    for found in _edits_between(old, new, ()):
        if found is None:
            yield COMPARED_UNITS
        else:
            edits.append(found)
    return tuple(edits)


def _edits_between(old: Document, new: Document, path: Path) -> Iterator[Edit | None]:
    """Yield the edits, and ``None`` from time to time while there are none."""
    for key in sorted(old.keys() - new.keys()):
        yield DeleteValue((*path, key))
    for count, key in enumerate(sorted(new), 1):
        if count % COMPARED_AT_ONCE == 0:
            yield None
        if key in old and old[key] is new[key]:
            continue  # documents that came about by deltas share what did not change
        here = (*path, key)
        if key not in old:
            yield SetValue(here, new[key])
        elif isinstance(old[key], dict) and isinstance(new[key], dict):
            if len(old[key]) != len(new[key]) or not have_same_content(old[key], new[key]):
                yield from _edits_between(old[key], new[key], here)
        elif not _same_value(old[key], new[key]):
            yield SetValue(here, new[key])


def _same_value(left: Any, right: Any) -> bool:
    """Compare as the digest does: ``1``, ``1.0`` and ``True`` are three values."""
    if type(left) is not type(right):
        return False
    if isinstance(left, list):
        return len(left) == len(right) and all(map(_same_value, left, right))
    if isinstance(left, dict):
        return left.keys() == right.keys() and all(
            _same_value(value, right[key]) for key, value in left.items()
        )
    return bool(left == right)


def apply_delta(delta: Delta, document: Document) -> Document:
    """Return a new document with the delta's edits; ``document`` stays as it is.

    Raises:
        DeltaMismatchError: an edit's path does not fit, or the digest differs.
    """
    result = apply_edits(document, delta.edits)
    if revision_id_of(delta.target.number, result) != delta.target:
        raise DeltaMismatchError(f"delta to {delta.target} yields another document")
    return result


def apply_edits(document: Document, edits: Iterable[Edit]) -> Document:
    """Return a new document with the edits done; ``document`` stays as it is.

    Raises:
        DeltaMismatchError: an edit's path does not fit.
    """
    root = _TableCopy(document)
    for edit in edits:
        root.apply(edit)
    return root.table


class _TableCopy:
    """The copy of a table under edit, with those of the tables in it that are under edit.

    Each is made once, however many edits there are below it.
    """

    __slots__ = ("_children", "table")

    def __init__(self, table: Mapping[str, Any]) -> None:
        self.table = dict(table)
        self._children: dict[str, _TableCopy] = {}

    def apply(self, edit: Edit) -> None:
        """Apply an edit whose path begins here.

        Raises:
            DeltaMismatchError: the path does not fit.
        """
        if not edit.path:
            raise DeltaMismatchError("an edit without a path")
        owner, key = self, edit.path[-1]
        for name in edit.path[:-1]:
            owner = owner._child(name, edit)
        owner._children.pop(key, None)
        if isinstance(edit, SetValue):
            owner.table[key] = edit.value
        elif key in owner.table:
            del owner.table[key]
        else:
            raise DeltaMismatchError(f"nothing to delete at {'.'.join(edit.path)}")

    def _child(self, name: str, edit: Edit) -> _TableCopy:
        child = self._children.get(name)
        if child is None:
            table = self.table.get(name, {})
            if not isinstance(table, dict):
                raise DeltaMismatchError(f"no object at {'.'.join(edit.path)}")
            child = self._children[name] = _TableCopy(table)
            self.table[name] = child.table
        return child
