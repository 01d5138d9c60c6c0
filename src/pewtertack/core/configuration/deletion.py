"""Deletion in a zone of what it would inherit from the root's sections.

A target is a path below one of the root's sections, joined by dots:
``routes.lookup`` (a whole route), ``routes.lookup.timeout`` (one value of it),
``services.archive``, ``secrets.token``, ``route_defaults.timeout``.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from typing import Any

from pewtertack.core.configuration.findings import Finding, FindingCode, Path
from pewtertack.core.configuration.model import DELETE_LIMIT, Section
from pewtertack.core.configuration.values import kind_of, shown

ACCEPTED = 'a list of paths such as "routes.NAME", "routes.NAME.SETTING" or "secrets.NAME"'


def parse_target(text: str) -> Path | None:
    """Return the path that ``text`` names, None when it is not below a section."""
    path = tuple(text.split("."))
    if len(path) < 2 or path[0] not in {section.value for section in Section}:
        return None
    return path if all(path) else None


def check_delete_list(value: Any, root: Mapping[str, Any], path: Path) -> Iterator[Finding]:
    """Yield what is wrong with the ``delete`` list at ``path`` of a zone below ``root``."""
    if not isinstance(value, list | tuple):
        yield Finding(FindingCode.WRONG_TYPE, path, kind_of(value), ACCEPTED)
        return
    if len(value) > DELETE_LIMIT:
        accepted = f"at most {DELETE_LIMIT} targets"
        yield Finding(FindingCode.TOO_LARGE, path, f"{len(value)} targets", accepted)
        return
    seen: set[Any] = set()
    for index, item in enumerate(value):
        here = (*path, str(index))
        if not isinstance(item, str):
            yield Finding(FindingCode.WRONG_TYPE, here, kind_of(item), ACCEPTED)
            continue
        if item in seen:
            yield Finding(FindingCode.DUPLICATE_ITEM, here, f"{shown(item)} is listed twice")
        seen.add(item)
        yield from _check_target(item, root, here)


def _check_target(item: str, root: Mapping[str, Any], path: Path) -> Iterator[Finding]:
    target = parse_target(item)
    if target is None:
        message = f"{shown(item)} is not a path below a section"
        yield Finding(FindingCode.BAD_DELETE_TARGET, path, message, ACCEPTED)
    elif not _contains(root, target):
        message = f"the root has no {shown(item)}"
        yield Finding(FindingCode.UNKNOWN_DELETE_TARGET, path, message, "a path that the root has")


def _contains(table: Any, path: Path) -> bool:
    for key in path:
        if not isinstance(table, dict) or key not in table:
            return False
        table = table[key]
    return True


def without_targets(root: Mapping[str, Any], targets: Iterable[str]) -> Mapping[str, Any]:
    """Return ``root`` without what ``targets`` name; ``root`` itself stays as it is."""
    marks = _mark(targets)
    return _without(root, marks) if marks else root


class _Marks(dict[str, "_Marks | None"]):
    """What to delete from a table: None for a whole key, marks for a part of its table."""


def _mark(targets: Iterable[str]) -> _Marks:
    marks = _Marks()
    for target in targets:
        *parents, last = target.split(".")
        table: _Marks | None = marks
        for key in parents:
            table = table.setdefault(key, _Marks()) if table is not None else None
        if table is not None:
            table[last] = None
    return marks


def _without(table: Mapping[str, Any], marks: _Marks) -> Mapping[str, Any]:
    """Return a copy of ``table`` without what is marked."""
    copy = dict(table)
    for key, part in marks.items():
        if part is None:
            copy.pop(key, None)
        elif key in copy:
            copy[key] = _without(copy[key], part)
    return copy
