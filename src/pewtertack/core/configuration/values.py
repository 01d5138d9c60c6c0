"""Checks one value of the tree against its setting, and parses durations."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterator, Mapping
from functools import lru_cache
from typing import Any

from pewtertack.core.configuration.findings import Finding, FindingCode, Path
from pewtertack.core.configuration.model import (
    DURATION_PATTERN,
    DURATION_UNITS,
    HEADER_PATTERN,
    HOST_LENGTH_LIMIT,
    HOST_PATTERN,
    LIST_LENGTH_LIMIT,
    NAME_PATTERN,
    PATH_LENGTH_LIMIT,
    PATH_PREFIX_PATTERN,
    REQUEST_TARGET_PATTERN,
    RESERVED_HEADERS,
    SECRET_LENGTH_LIMIT,
    SECRET_PATTERN,
    WEIGHTS_LIMIT,
    ZONE_NAME_PATTERN,
    Setting,
    ValueKind,
)

SHOWN_CHARACTERS = 60
DURATIONS_SHARED = 1024
"""Different durations whose seconds are kept."""
ACCEPTED_ZONES = f"a list of at most {LIST_LENGTH_LIMIT} different zones, as nodes name theirs"

_NAME = re.compile(NAME_PATTERN)
_ZONE_NAME = re.compile(ZONE_NAME_PATTERN)
_HOST = re.compile(HOST_PATTERN)
_PATH_PREFIX = re.compile(PATH_PREFIX_PATTERN)
_REQUEST_TARGET = re.compile(REQUEST_TARGET_PATTERN)
_HEADER = re.compile(HEADER_PATTERN)
_SECRET = re.compile(SECRET_PATTERN)
_DURATION = re.compile(DURATION_PATTERN)

_KIND_NAMES: Mapping[type, str] = {
    bool: "a boolean",
    dict: "a table",
    float: "a number",
    int: "a whole number",
    list: "a list",
    str: "a string",
    tuple: "a list",
}

Problem = tuple[FindingCode, str]


def is_name(value: str) -> bool:
    """Tell whether ``value`` may name a zone, service, route or secret."""
    return _NAME.fullmatch(value) is not None


def is_zone_name(value: str) -> bool:
    """Tell whether ``value`` may be a zone as nodes name theirs."""
    return _ZONE_NAME.fullmatch(value) is not None


def is_host(value: str) -> bool:
    """Tell whether ``value`` may be the name of a host."""
    return len(value) <= HOST_LENGTH_LIMIT and _HOST.fullmatch(value) is not None


def is_path_prefix(value: str) -> bool:
    """Tell whether ``value`` is a path prefix in normal form, of whatever length."""
    return _PATH_PREFIX.fullmatch(value) is not None


def is_request_target(value: str) -> bool:
    """Tell whether a request may ask for ``value``, of whatever length."""
    return _REQUEST_TARGET.fullmatch(value) is not None


@lru_cache(maxsize=DURATIONS_SHARED)
def duration_seconds(value: str) -> float | None:
    """Return the seconds that ``value`` such as ``"250ms"`` means, None without known unit.

    A tree has few different ones; they are read once, and routes share the numbers.
    """
    match = _DURATION.fullmatch(value)
    if match is None:
        return None
    return float(match[1]) * DURATION_UNITS[match[2]]


def check_value(setting: Setting, value: Any, path: Path) -> Iterator[Finding]:
    """Yield what is wrong with ``value``, which stands at ``path``, for ``setting``."""
    for code, message, suffix in _CHECKS[setting.kind](setting, value):
        yield Finding(code, path + suffix, message, setting.accepted)


def check_secret(value: Any, path: Path) -> Iterator[Finding]:
    """Yield what is wrong with the value of a secret, without showing it."""
    accepted = f"1 to {SECRET_LENGTH_LIMIT} printable ASCII characters, no space at either end"
    if not isinstance(value, str):
        yield Finding(FindingCode.WRONG_TYPE, path, "not a string", accepted)
    elif len(value) > SECRET_LENGTH_LIMIT:
        yield Finding(FindingCode.TOO_LARGE, path, f"{len(value)} characters", accepted)
    elif not _SECRET.fullmatch(value):
        yield Finding(FindingCode.BAD_SECRET, path, "cannot be a header's value", accepted)


def kind_of(value: Any) -> str:
    """Return the name of the type of ``value`` in the words of TOML and JSON."""
    return _KIND_NAMES.get(type(value), type(value).__name__)


def shown(value: Any) -> str:
    """Return a short text for ``value``, safe for any value that JSON can carry."""
    if isinstance(value, dict | list | tuple):
        return kind_of(value)
    text = repr(value)
    return text if len(text) <= SHOWN_CHARACTERS else text[:SHOWN_CHARACTERS] + "..."


_Check = tuple[FindingCode, str, Path]


def _wrong_type(value: Any, suffix: Path = ()) -> _Check:
    return FindingCode.WRONG_TYPE, f"{shown(value)} has the wrong type", suffix


def _check_duration(setting: Setting, value: Any) -> Iterator[_Check]:
    if isinstance(value, int | float) and not isinstance(value, bool):
        yield FindingCode.WRONG_UNIT, f"{shown(value)} has no unit", ()
        return
    if not isinstance(value, str):
        yield _wrong_type(value)
        return
    seconds = duration_seconds(value)
    if seconds is None:
        yield FindingCode.WRONG_UNIT, f"{shown(value)} is not a number with a known unit", ()
    else:
        yield from _check_bounds(setting, seconds, value)


def _check_bounds(setting: Setting, number: float, value: Any) -> Iterator[_Check]:
    if not setting.minimum <= number <= setting.maximum:
        yield FindingCode.OUT_OF_RANGE, f"{shown(value)} is out of range", ()


def _check_integer(setting: Setting, value: Any) -> Iterator[_Check]:
    if isinstance(value, bool) or not isinstance(value, int):
        yield _wrong_type(value)
    else:
        yield from _check_bounds(setting, value, value)


def _check_ratio(setting: Setting, value: Any) -> Iterator[_Check]:
    if isinstance(value, bool) or not isinstance(value, int | float):
        yield _wrong_type(value)
    else:
        yield from _check_bounds(setting, value, value)


def _check_boolean(_setting: Setting, value: Any) -> Iterator[_Check]:
    if not isinstance(value, bool):
        yield _wrong_type(value)


def _check_choice(setting: Setting, value: Any) -> Iterator[_Check]:
    if not isinstance(value, str):
        yield _wrong_type(value)
    elif value not in setting.choices:
        yield FindingCode.UNKNOWN_CHOICE, f"{shown(value)} is none of the choices", ()


def _check_name(_setting: Setting, value: Any) -> Iterator[_Check]:
    if not isinstance(value, str):
        yield _wrong_type(value)
    elif not is_name(value):
        yield FindingCode.BAD_NAME, f"{shown(value)} is not a name", ()


def _check_path_prefix(_setting: Setting, value: Any) -> Iterator[_Check]:
    if not isinstance(value, str):
        yield _wrong_type(value)
    elif len(value) > PATH_LENGTH_LIMIT:
        yield FindingCode.TOO_LARGE, f"more than {PATH_LENGTH_LIMIT} characters", ()
    elif not is_path_prefix(value):
        yield FindingCode.BAD_PATH, f"{shown(value)} is not a path prefix", ()


def _check_request_target(_setting: Setting, value: Any) -> Iterator[_Check]:
    if not isinstance(value, str):
        yield _wrong_type(value)
    elif len(value) > PATH_LENGTH_LIMIT:
        yield FindingCode.TOO_LARGE, f"more than {PATH_LENGTH_LIMIT} characters", ()
    elif not is_request_target(value):
        yield FindingCode.BAD_PATH, f"{shown(value)} is not a path", ()


def _check_list(value: Any, item_checks: Callable[[Any], Problem | None]) -> Iterator[_Check]:
    """Check a list of different strings, each by ``item_checks``."""
    if not isinstance(value, list | tuple):
        yield _wrong_type(value)
        return
    if len(value) > LIST_LENGTH_LIMIT:
        yield FindingCode.TOO_LARGE, f"{len(value)} items", ()
        return
    seen: set[str] = set()
    for index, item in enumerate(value):
        suffix = (str(index),)
        if not isinstance(item, str):
            yield _wrong_type(item, suffix)
            continue
        problem = item_checks(item)
        if problem is not None:
            yield (*problem, suffix)
        elif item.lower() in seen:
            yield FindingCode.DUPLICATE_ITEM, f"{shown(item)} is listed twice", suffix
        seen.add(item.lower())


def _check_hosts(_setting: Setting, value: Any) -> Iterator[_Check]:
    def check_host(item: str) -> Problem | None:
        if is_host(item):
            return None
        return FindingCode.BAD_HOST, f"{shown(item)} is not a host name"

    return _check_list(value, check_host)


def check_zone_names(value: Any, path: Path) -> Iterator[Finding]:
    """Yield what is wrong with a list of zones as nodes name them."""

    def check_zone(item: str) -> Problem | None:
        if is_zone_name(item):
            return None
        return FindingCode.BAD_NAME, f"{shown(item)} is not a zone's name"

    for code, message, suffix in _check_list(value, check_zone):
        yield Finding(code, (*path, *suffix), message, ACCEPTED_ZONES)


def _check_methods(setting: Setting, value: Any) -> Iterator[_Check]:
    def check_method(item: str) -> Problem | None:
        if item in setting.choices:
            return None
        return FindingCode.UNKNOWN_CHOICE, f"{shown(item)} is none of the methods"

    return _check_list(value, check_method)


def _check_header_secrets(_setting: Setting, value: Any) -> Iterator[_Check]:
    if not isinstance(value, dict):
        yield _wrong_type(value)
        return
    if len(value) > LIST_LENGTH_LIMIT:
        yield FindingCode.TOO_LARGE, f"{len(value)} headers", ()
        return
    for header, secret in value.items():
        if header in RESERVED_HEADERS:
            yield FindingCode.RESERVED_HEADER, f"{header} must not be replaced", (header,)
        elif not _HEADER.fullmatch(header):
            yield FindingCode.BAD_HEADER, f"{shown(header)} is not a header name", (header,)
        if not isinstance(secret, str):
            yield _wrong_type(secret, (header,))
        elif not is_name(secret):
            yield FindingCode.BAD_NAME, f"{shown(secret)} is not a name", (header,)


def _check_weights(setting: Setting, value: Any) -> Iterator[_Check]:
    if not isinstance(value, dict):
        yield _wrong_type(value)
        return
    if len(value) > WEIGHTS_LIMIT:
        yield FindingCode.TOO_LARGE, f"{len(value)} services", ()
        return
    for service, weight in value.items():
        if not is_name(service):
            yield FindingCode.BAD_NAME, f"{shown(service)} is not a name", (service,)
        for code, message, _ in _check_integer(setting, weight):
            yield code, message, (service,)
    if value and not any(value.values()):
        yield FindingCode.OUT_OF_RANGE, "all weights are 0", ()


_CHECKS: Mapping[ValueKind, Callable[[Setting, Any], Iterator[_Check]]] = {
    ValueKind.DURATION: _check_duration,
    ValueKind.INTEGER: _check_integer,
    ValueKind.RATIO: _check_ratio,
    ValueKind.BOOLEAN: _check_boolean,
    ValueKind.CHOICE: _check_choice,
    ValueKind.NAME: _check_name,
    ValueKind.PATH_PREFIX: _check_path_prefix,
    ValueKind.REQUEST_TARGET: _check_request_target,
    ValueKind.HOSTS: _check_hosts,
    ValueKind.METHODS: _check_methods,
    ValueKind.HEADER_SECRETS: _check_header_secrets,
    ValueKind.WEIGHTS: _check_weights,
}
