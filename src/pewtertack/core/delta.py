"""Differences between two documents, as a list of edits by path.

A delta carries what operators changed, unresolved: an edit of a default near
the root is one edit, however many routes inherit it.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Any, ClassVar

import msgspec

from pewtertack.core.revision import Document, RevisionId, encoded, identify
from pewtertack.errors import CoordinationError

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
    return tuple(_edits_between(old, new, ()))


def _edits_between(old: Document, new: Document, path: Path) -> Iterator[Edit]:
    for key in sorted(old.keys() - new.keys()):
        yield DeleteValue((*path, key))
    for key in sorted(new):
        if key in old and old[key] is new[key]:
            continue  # documents that came about by deltas share what did not change
        here = (*path, key)
        if key not in old:
            yield SetValue(here, new[key])
        elif isinstance(old[key], dict) and isinstance(new[key], dict):
            if encoded(old[key]) != encoded(new[key]):
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


def apply(delta: Delta, document: Document) -> Document:
    """Return a new document with the delta's edits; ``document`` stays as it is.

    Raises:
        DeltaMismatchError: an edit's path does not fit, or the digest differs.
    """
    result = with_edits(document, delta.edits)
    if identify(delta.target.number, result) != delta.target:
        raise DeltaMismatchError(f"delta to {delta.target} yields another document")
    return result


def with_edits(document: Document, edits: Iterable[Edit]) -> Document:
    """Return a new document with the edits done; ``document`` stays as it is.

    Raises:
        DeltaMismatchError: an edit's path does not fit.
    """
    result: Document = dict(document)
    for edit in edits:
        result = _with_edit(result, edit, edit.path)
    return result


def _with_edit(document: Any, edit: Edit, path: Path) -> dict[str, Any]:
    """Return a copy of ``document`` with the edit done at ``path`` below it."""
    if not path or not isinstance(document, dict):
        raise DeltaMismatchError(f"no object at {'.'.join(edit.path)}")
    key, rest = path[0], path[1:]
    copy = dict(document)
    if rest:
        copy[key] = _with_edit(copy.get(key, {}), edit, rest)
    elif isinstance(edit, SetValue):
        copy[key] = edit.value
    elif key in copy:
        del copy[key]
    else:
        raise DeltaMismatchError(f"nothing to delete at {'.'.join(edit.path)}")
    return copy
