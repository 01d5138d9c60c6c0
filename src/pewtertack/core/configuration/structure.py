"""Checks a tree as it is written: plain values, known keys, types, bounds and names.

Inheritance is considered in ``scopes`` and ``validation``.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator, Mapping, Sequence
from functools import partial
from typing import Any

from pewtertack.core.configuration.deletion import check_delete_list
from pewtertack.core.configuration.findings import Finding, FindingCode, Path
from pewtertack.core.configuration.memory import (
    ROOT_PATH_LENGTH,
    ZONE_PATH_LENGTH,
    Table,
    ValidationCache,
)
from pewtertack.core.configuration.model import (
    DELETE,
    HEAD_BYTES_SETTING,
    NAMES_LIMIT,
    ROUTE_DEFAULT_SETTINGS,
    ROUTE_SETTINGS,
    SERVICE_SETTINGS,
    ZONE_LIMIT,
    ZONES,
    RootSection,
    Section,
    Setting,
)
from pewtertack.core.configuration.values import (
    check_secret,
    check_value,
    check_zone_names,
    is_name,
    short_repr,
    type_name,
)

NESTING_LIMIT = 8
"""Nesting of tables and lists; the deepest table of a valid tree is at depth 6."""

DOCUMENT_BYTES_LIMIT = 8 * 1024 * 1024
"""Maximum estimated bytes of one tree (see ``estimated_bytes``). Every tree that a source accepts
must stay below it, since every node rejects a larger version."""

GUARANTEED_DOCUMENT_BYTES = 1024 * 1024
"""No document of up to this many bytes is rejected for its size or for the number of its names,
even if the names are very short."""

VALUE_BYTES = 32
"""Estimated bytes of each table, list and plain value besides its text; CBOR needs fewer."""

NON_ASCII_CHARACTER_BYTES = 4
"""Estimated bytes of each character of a text that is not ASCII."""

STRING_LENGTH_LIMIT = 4096
INTEGER_LIMIT = 2**63
"""Not every codec can represent integers beyond 64 bits."""

VALUES_PER_STEP = 50
"""Values, or named tables, that are checked in one step."""

Steps = Iterator[Finding | None]
"""Findings, with None at the end of each step."""

EMPTY_CACHE = ValidationCache()

ACCEPTED_NAMES = "letters, digits, ., - and _, at most 128 characters, the first not . or -"


def estimated_bytes(table: Any) -> int:
    """Return the estimated bytes of a value in which ``check_plain`` found nothing.

    The key of the value is not included.
    """
    total_bytes = VALUE_BYTES + _text_bytes(table)
    if isinstance(table, dict):
        return total_bytes + sum(
            _text_bytes(key) + estimated_bytes(value) for key, value in table.items()
        )
    if isinstance(table, list | tuple):
        return total_bytes + sum(
            _text_bytes(str(index)) + estimated_bytes(value) for index, value in enumerate(table)
        )
    return total_bytes


def check_plain(document: Any, cache: ValidationCache = EMPTY_CACHE) -> Iterator[Finding]:
    """Yield a finding for each value that JSON cannot represent or that is too large or too deep.

    Stops as soon as the tree is found to be too large. Does not recurse, so any nesting is safe.
    Tables that the ``cache`` has accepted and tables that are seen to be plain only add
    their size.
    """
    return (finding for finding in check_plain_in_steps(document, cache) if finding is not None)


def check_plain_in_steps(document: Any, cache: ValidationCache) -> Steps:
    """Do the work of ``check_plain`` in steps."""
    pending: list[tuple[Any, Path]] = [(document, ())]
    total_bytes = count = 0
    while pending:
        count += 1
        if count % VALUES_PER_STEP == 0:
            yield None
        value, path = pending.pop()
        known_bytes = _known_bytes(value, path, cache) if isinstance(value, dict) else None
        total_bytes += VALUE_BYTES + _text_bytes(value) if known_bytes is None else known_bytes
        total_bytes += _text_bytes(path[-1]) if path else 0
        if total_bytes > DOCUMENT_BYTES_LIMIT:
            yield Finding(
                FindingCode.TOO_LARGE, (), "too large", f"at most {DOCUMENT_BYTES_LIMIT} bytes"
            )
            return
        if known_bytes is not None:
            continue
        if not isinstance(value, dict | list | tuple):
            yield from _check_plain_value(value, path)
        elif len(path) >= NESTING_LIMIT:
            limit = f"at most {NESTING_LIMIT} levels"
            yield Finding(FindingCode.TOO_DEEP, path, "nested too deep", limit)
        elif isinstance(value, dict):
            for key, child in value.items():
                finding = _check_key(key, path)
                if finding is not None:
                    yield finding
                else:
                    pending.append((child, (*path, key)))
        else:
            pending.extend((child, (*path, str(index))) for index, child in enumerate(value))


def _known_bytes(table: Table, path: Path, cache: ValidationCache) -> int | None:
    """Return the estimated bytes of a named table that was accepted or is plain, else None."""
    if len(path) not in (ROOT_PATH_LENGTH, ZONE_PATH_LENGTH):
        return None
    known_bytes = cache.accepted_bytes(table, path)
    if known_bytes is None:
        known_bytes = _plain_bytes(table, NESTING_LIMIT - len(path))
        if known_bytes is not None and cache is not EMPTY_CACHE:
            cache.add_pending_bytes(table, known_bytes)
    return known_bytes


def _plain_bytes(table: Table, levels: int) -> int | None:
    """Return the estimated bytes of a table in which ``check_plain`` would find nothing.

    Returns None for a table that needs the full check, for example because it has more ``levels``
    of nesting or a text that is not ASCII. Nearly all tables are plain. For them this replaces the
    check of every single value, and their size is not computed again once they are accepted:
    validation of 1,400 routes takes 19 ms of processor time instead of 30.
    """
    total_bytes = VALUE_BYTES
    for key, value in table.items():
        if type(key) is not str or not key.isascii() or len(key) > STRING_LENGTH_LIMIT:
            return None
        value_bytes = _plain_value_bytes(value, levels - 1)
        if value_bytes is None:
            return None
        total_bytes += len(key) + value_bytes
    return total_bytes


def _plain_value_bytes(value: Any, levels: int) -> int | None:
    value_type = type(value)
    if value_type is str:
        is_plain = value.isascii() and len(value) <= STRING_LENGTH_LIMIT
        return VALUE_BYTES + len(value) if is_plain else None
    if value_type is bool or (value_type is int and -INTEGER_LIMIT <= value < INTEGER_LIMIT):
        return VALUE_BYTES
    if value_type is float:
        return VALUE_BYTES if math.isfinite(value) else None
    if levels <= 0:
        return None
    if value_type is dict:
        return _plain_bytes(value, levels)
    return _plain_list_bytes(value, levels) if value_type is list else None


def _plain_list_bytes(items: list[Any], levels: int) -> int | None:
    total_bytes = VALUE_BYTES
    for index, item in enumerate(items):
        item_bytes = _plain_value_bytes(item, levels - 1)
        if item_bytes is None:
            return None
        total_bytes += len(str(index)) + item_bytes
    return total_bytes


def _text_bytes(value: Any) -> int:
    if not isinstance(value, str):
        return 0
    return len(value) if value.isascii() else NON_ASCII_CHARACTER_BYTES * len(value)


def _check_key(key: Any, path: Path) -> Finding | None:
    if not isinstance(key, str):
        return Finding(FindingCode.NON_STRING_KEY, path, f"a key of type {type(key).__name__}")
    if len(key) > STRING_LENGTH_LIMIT:
        return Finding(FindingCode.TOO_LARGE, path, f"a key of {len(key)} characters")
    if not _is_unicode(key):
        return Finding(FindingCode.UNSUPPORTED_VALUE, path, "a key that is not valid Unicode")
    return None


def _check_plain_value(value: Any, path: Path) -> Iterator[Finding]:
    if isinstance(value, str):
        if len(value) > STRING_LENGTH_LIMIT:
            limit = f"at most {STRING_LENGTH_LIMIT} characters"
            yield Finding(FindingCode.TOO_LARGE, path, f"{len(value)} characters", limit)
        elif not _is_unicode(value):
            yield Finding(FindingCode.UNSUPPORTED_VALUE, path, "not valid Unicode")
    elif isinstance(value, float):
        if not math.isfinite(value):
            yield Finding(FindingCode.NOT_FINITE, path, "not a finite number")
    elif isinstance(value, int):
        if not -INTEGER_LIMIT <= value < INTEGER_LIMIT:
            yield Finding(FindingCode.OUT_OF_RANGE, path, "does not fit into 64 bits")
    else:
        message = f"a value of type {type(value).__name__}"
        yield Finding(FindingCode.UNSUPPORTED_VALUE, path, message)


def _is_unicode(text: str) -> bool:
    if text.isascii():
        return True
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def check_structure(
    document: Mapping[str, Any], cache: ValidationCache = EMPTY_CACHE
) -> Iterator[Finding]:
    """Yield every unknown key and invalid value of a document that passed ``check_plain``."""
    return (finding for finding in check_structure_in_steps(document, cache) if finding is not None)


def check_structure_in_steps(document: Mapping[str, Any], cache: ValidationCache) -> Steps:
    """Do the work of ``check_structure`` in steps."""
    for key, value in document.items():
        if key == ZONES:
            check_zone = partial(_check_zone, document, cache)
            yield from _check_named_tables(value, (ZONES,), check_zone, ZONE_LIMIT)
        elif key == RootSection.EVACUATED_ZONES:
            yield from check_zone_names(value, (key,))
        elif key == RootSection.HEAD_BYTES:
            yield from check_value(HEAD_BYTES_SETTING, value, (key,))
        else:
            yield from _check_section(key, value, (), cache)


def _check_zone(root: Mapping[str, Any], cache: ValidationCache, zone: Table, path: Path) -> Steps:
    for key, value in zone.items():
        if key == DELETE:
            yield from check_delete_list(value, root, (*path, DELETE))
        else:
            yield from _check_section(key, value, path, cache)


def _check_section(key: str, value: Any, scope: Path, cache: ValidationCache) -> Steps:
    path = (*scope, key)
    if key == Section.ROUTE_DEFAULTS:
        yield from _check_settings(ROUTE_DEFAULT_SETTINGS, value, path)
    elif key == Section.SERVICE_DEFAULTS:
        yield from _check_settings(SERVICE_SETTINGS, value, path)
    elif key == Section.SECRETS:
        yield from _check_secrets(value, path)
    elif key == Section.SERVICES:
        yield from _check_named_tables(value, path, _check_service, cache=cache)
    elif key == Section.ROUTES:
        check_route = partial(_check_settings, ROUTE_SETTINGS)
        yield from _check_named_tables(value, path, check_route, cache=cache)
    else:
        known_keys = [section.value for section in Section]
        known_keys += [DELETE] if scope else [ZONES, *(section.value for section in RootSection)]
        yield _unknown_key(path, known_keys)


def _check_named_tables(
    value: Any,
    path: Path,
    check_table: Callable[[Table, Path], Steps],
    limit: int = NAMES_LIMIT,
    cache: ValidationCache = EMPTY_CACHE,
) -> Steps:
    """Check a table that maps names chosen by operators to tables."""
    if not isinstance(value, dict):
        yield _not_a_table(value, path)
        return
    yield from _check_count(value, path, limit)
    for count, (name, table) in enumerate(value.items(), 1):
        if count % VALUES_PER_STEP == 0:
            yield None
        item_path = (*path, name)
        if not is_name(name):
            yield _bad_name(item_path)
        if not isinstance(table, dict):
            yield _not_a_table(table, item_path)
        elif cache.accepted_bytes(table, item_path) is None:
            yield from check_table(table, item_path)


def _check_service(service: Table, path: Path) -> Iterator[Finding]:
    own = {key: value for key, value in service.items() if key != Section.ROUTE_DEFAULTS}
    yield from _check_settings(SERVICE_SETTINGS, own, path, additional_key=Section.ROUTE_DEFAULTS)
    if Section.ROUTE_DEFAULTS in service:
        defaults_path = (*path, Section.ROUTE_DEFAULTS.value)
        defaults = service[Section.ROUTE_DEFAULTS]
        yield from _check_settings(ROUTE_DEFAULT_SETTINGS, defaults, defaults_path)


def _check_settings(
    settings: Mapping[str, Setting], value: Any, path: Path, *, additional_key: str = ""
) -> Iterator[Finding]:
    if not isinstance(value, dict):
        yield _not_a_table(value, path)
        return
    for key, item in value.items():
        item_path = (*path, key)
        if key in settings:
            yield from check_value(settings[key], item, item_path)
        else:
            yield _unknown_key(
                item_path, [*settings, *([additional_key] if additional_key else [])]
            )


def _check_secrets(value: Any, path: Path) -> Iterator[Finding]:
    if not isinstance(value, dict):
        yield _not_a_table(value, path)
        return
    yield from _check_count(value, path, NAMES_LIMIT)
    for name, secret in value.items():
        item_path = (*path, name)
        if not is_name(name):
            yield _bad_name(item_path)
        yield from check_secret(secret, item_path)


def _check_count(table: Table, path: Path, limit: int) -> Iterator[Finding]:
    if len(table) > limit:
        message = f"{len(table)} names"
        yield Finding(FindingCode.TOO_LARGE, path, message, f"at most {limit} names")


def _not_a_table(value: Any, path: Path) -> Finding:
    return Finding(FindingCode.NOT_A_TABLE, path, f"{type_name(value)} instead of a table")


def _bad_name(path: Path) -> Finding:
    return Finding(
        FindingCode.BAD_NAME, path, f"{short_repr(path[-1])} is not a name", ACCEPTED_NAMES
    )


def _unknown_key(path: Path, known_keys: Sequence[str]) -> Finding:
    accepted = "one of " + ", ".join(known_keys)
    return Finding(
        FindingCode.UNKNOWN_KEY, path, f"{short_repr(path[-1])} is not known here", accepted
    )
