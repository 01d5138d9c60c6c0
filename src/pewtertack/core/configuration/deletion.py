"""Deletion of inherited values: a zone may delete parts of the root's sections for itself.

A delete target is a path below one of the root's sections, joined by dots:
``routes.lookup`` (a whole route), ``routes.lookup.timeout`` (one value of it),
``services.archive``, ``secrets.token``, ``route_defaults.timeout``.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from typing import Any

from pewtertack.core.configuration.findings import Finding, FindingCode, Path
from pewtertack.core.configuration.model import DELETE_TARGETS_LIMIT, Section
from pewtertack.core.configuration.values import short_repr, type_name

ACCEPTED_TARGETS = 'a list of paths such as "routes.NAME", "routes.NAME.SETTING" or "secrets.NAME"'


def parse_target(text: str) -> Path | None:
    """Return the path that ``text`` denotes; None if it is not below a section."""
    path = tuple(text.split("."))
    if len(path) < 2 or path[0] not in {section.value for section in Section}:
        return None
    return path if all(path) else None


def check_delete_list(value: Any, root: Mapping[str, Any], path: Path) -> Iterator[Finding]:
    """Yield the findings about the ``delete`` list at ``path``, in a zone of the tree ``root``."""
    if not isinstance(value, list | tuple):
        yield Finding(FindingCode.WRONG_TYPE, path, type_name(value), ACCEPTED_TARGETS)
        return
    if len(value) > DELETE_TARGETS_LIMIT:
        accepted = f"at most {DELETE_TARGETS_LIMIT} targets"
        yield Finding(FindingCode.TOO_LARGE, path, f"{len(value)} targets", accepted)
        return
    seen: set[Any] = set()
    for index, item in enumerate(value):
        item_path = (*path, str(index))
        if not isinstance(item, str):
            yield Finding(FindingCode.WRONG_TYPE, item_path, type_name(item), ACCEPTED_TARGETS)
            continue
        if item in seen:
            yield Finding(
                FindingCode.DUPLICATE_ITEM, item_path, f"{short_repr(item)} is listed twice"
            )
        seen.add(item)
        yield from _check_target(item, root, item_path)


def _check_target(item: str, root: Mapping[str, Any], path: Path) -> Iterator[Finding]:
    target = parse_target(item)
    if target is None:
        message = f"{short_repr(item)} is not a path below a section"
        yield Finding(FindingCode.BAD_DELETE_TARGET, path, message, ACCEPTED_TARGETS)
    elif not _contains(root, target):
        message = f"the root has no {short_repr(item)}"
        yield Finding(FindingCode.UNKNOWN_DELETE_TARGET, path, message, "a path that the root has")


def _contains(table: Any, path: Path) -> bool:
    for key in path:
        if not isinstance(table, dict) or key not in table:
            return False
        table = table[key]
    return True


def without_targets(root: Mapping[str, Any], targets: Iterable[str]) -> Mapping[str, Any]:
    """Return ``root`` without ``targets``; ``root`` itself is not modified."""
    deletions = _parse_targets(targets)
    return _without(root, deletions) if deletions else root


class _Deletions(dict[str, "_Deletions | None"]):
    """Keys to delete from a table: None deletes the whole value, a nested object parts of it."""


def _parse_targets(targets: Iterable[str]) -> _Deletions:
    deletions = _Deletions()
    for target in targets:
        *parents, last = target.split(".")
        table: _Deletions | None = deletions
        for key in parents:
            table = table.setdefault(key, _Deletions()) if table is not None else None
        if table is not None:
            table[last] = None
    return deletions


def _without(table: Mapping[str, Any], deletions: _Deletions) -> Mapping[str, Any]:
    """Return a copy of ``table`` without ``deletions``."""
    copy = dict(table)
    for key, nested in deletions.items():
        if nested is None:
            copy.pop(key, None)
        elif key in copy:
            copy[key] = _without(copy[key], nested)
    return copy
