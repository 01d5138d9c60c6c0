"""Checks of single values of the tree against their settings, and parsing of durations."""

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

REPR_CHARACTERS_LIMIT = 60
"""Maximum number of characters of a value that a message quotes."""
DURATION_CACHE_SIZE = 1024
"""Number of different durations that are cached."""
ACCEPTED_ZONE_NAMES = (
    f"a list of at most {LIST_LENGTH_LIMIT} different zones, named as in the settings of nodes"
)

_NAME = re.compile(NAME_PATTERN)
_ZONE_NAME = re.compile(ZONE_NAME_PATTERN)
_HOST = re.compile(HOST_PATTERN)
_PATH_PREFIX = re.compile(PATH_PREFIX_PATTERN)
_REQUEST_TARGET = re.compile(REQUEST_TARGET_PATTERN)
_HEADER = re.compile(HEADER_PATTERN)
_SECRET = re.compile(SECRET_PATTERN)
_DURATION = re.compile(DURATION_PATTERN)

_TYPE_NAMES: Mapping[type, str] = {
    bool: "a boolean",
    dict: "a table",
    float: "a number",
    int: "a whole number",
    list: "a list",
    str: "a string",
    tuple: "a list",
}

ItemProblem = tuple[FindingCode, str]
"""Code and message of a finding about one item of a list."""


def is_name(value: str) -> bool:
    """Tell whether ``value`` is a valid name of a zone, service, route or secret."""
    return _NAME.fullmatch(value) is not None


def is_zone_name(value: str) -> bool:
    """Tell whether ``value`` is a valid zone in the settings of a node."""
    return _ZONE_NAME.fullmatch(value) is not None


def is_host(value: str) -> bool:
    """Tell whether ``value`` is a valid host name."""
    return len(value) <= HOST_LENGTH_LIMIT and _HOST.fullmatch(value) is not None


def is_path_prefix(value: str) -> bool:
    """Tell whether ``value`` is a path prefix in normal form, of any length."""
    return _PATH_PREFIX.fullmatch(value) is not None


def is_request_target(value: str) -> bool:
    """Tell whether ``value`` is a valid request target (path and query), of any length."""
    return _REQUEST_TARGET.fullmatch(value) is not None


@lru_cache(maxsize=DURATION_CACHE_SIZE)
def duration_seconds(value: str) -> float | None:
    """Return ``value``, for example ``"250ms"``, in seconds; None if it is not a duration.

    A tree has few different durations. Each is parsed once, and routes share the result.
    """
    match = _DURATION.fullmatch(value)
    if match is None:
        return None
    return float(match[1]) * DURATION_UNITS[match[2]]


def check_value(setting: Setting, value: Any, path: Path) -> Iterator[Finding]:
    """Yield the findings about ``value``, at ``path`` in the tree, as a value of ``setting``."""
    for code, message, suffix in _CHECKS[setting.kind](setting, value):
        yield Finding(code, path + suffix, message, setting.accepted)


def check_secret(value: Any, path: Path) -> Iterator[Finding]:
    """Yield the findings about the value of a secret; they never contain the value."""
    accepted = f"1 to {SECRET_LENGTH_LIMIT} printable ASCII characters, no space at either end"
    if not isinstance(value, str):
        yield Finding(FindingCode.WRONG_TYPE, path, "not a string", accepted)
    elif len(value) > SECRET_LENGTH_LIMIT:
        yield Finding(FindingCode.TOO_LARGE, path, f"{len(value)} characters", accepted)
    elif not _SECRET.fullmatch(value):
        yield Finding(FindingCode.BAD_SECRET, path, "not a valid header value", accepted)


def type_name(value: Any) -> str:
    """Return the name of the type of ``value`` in the terms of TOML and JSON."""
    return _TYPE_NAMES.get(type(value), type(value).__name__)


def short_repr(value: Any) -> str:
    """Return a short representation of any value that JSON can represent."""
    if isinstance(value, dict | list | tuple):
        return type_name(value)
    text = repr(value)
    return text if len(text) <= REPR_CHARACTERS_LIMIT else text[:REPR_CHARACTERS_LIMIT] + "..."


_LocatedProblem = tuple[FindingCode, str, Path]
"""Code and message of a finding, and the path from the checked value to the faulty part."""


def _wrong_type(value: Any, suffix: Path = ()) -> _LocatedProblem:
    return FindingCode.WRONG_TYPE, f"{short_repr(value)} has the wrong type", suffix


def _check_duration(setting: Setting, value: Any) -> Iterator[_LocatedProblem]:
    if isinstance(value, int | float) and not isinstance(value, bool):
        yield FindingCode.WRONG_UNIT, f"{short_repr(value)} has no unit", ()
        return
    if not isinstance(value, str):
        yield _wrong_type(value)
        return
    seconds = duration_seconds(value)
    if seconds is None:
        yield FindingCode.WRONG_UNIT, f"{short_repr(value)} is not a number with a known unit", ()
    else:
        yield from _check_bounds(setting, seconds, value)


def _check_bounds(setting: Setting, number: float, value: Any) -> Iterator[_LocatedProblem]:
    if not setting.minimum <= number <= setting.maximum:
        yield FindingCode.OUT_OF_RANGE, f"{short_repr(value)} is out of range", ()


def _check_integer(setting: Setting, value: Any) -> Iterator[_LocatedProblem]:
    if isinstance(value, bool) or not isinstance(value, int):
        yield _wrong_type(value)
    else:
        yield from _check_bounds(setting, value, value)


def _check_ratio(setting: Setting, value: Any) -> Iterator[_LocatedProblem]:
    if isinstance(value, bool) or not isinstance(value, int | float):
        yield _wrong_type(value)
    else:
        yield from _check_bounds(setting, value, value)


def _check_boolean(_setting: Setting, value: Any) -> Iterator[_LocatedProblem]:
    if not isinstance(value, bool):
        yield _wrong_type(value)


def _check_choice(setting: Setting, value: Any) -> Iterator[_LocatedProblem]:
    if not isinstance(value, str):
        yield _wrong_type(value)
    elif value not in setting.choices:
        yield FindingCode.UNKNOWN_CHOICE, f"{short_repr(value)} is not one of the choices", ()


def _check_name(_setting: Setting, value: Any) -> Iterator[_LocatedProblem]:
    if not isinstance(value, str):
        yield _wrong_type(value)
    elif not is_name(value):
        yield FindingCode.BAD_NAME, f"{short_repr(value)} is not a name", ()


def _check_path_prefix(_setting: Setting, value: Any) -> Iterator[_LocatedProblem]:
    if not isinstance(value, str):
        yield _wrong_type(value)
    elif len(value) > PATH_LENGTH_LIMIT:
        yield FindingCode.TOO_LARGE, f"more than {PATH_LENGTH_LIMIT} characters", ()
    elif not is_path_prefix(value):
        yield FindingCode.BAD_PATH, f"{short_repr(value)} is not a path prefix", ()


def _check_request_target(_setting: Setting, value: Any) -> Iterator[_LocatedProblem]:
    if not isinstance(value, str):
        yield _wrong_type(value)
    elif len(value) > PATH_LENGTH_LIMIT:
        yield FindingCode.TOO_LARGE, f"more than {PATH_LENGTH_LIMIT} characters", ()
    elif not is_request_target(value):
        yield FindingCode.BAD_PATH, f"{short_repr(value)} is not a path", ()


def _check_list(
    value: Any, check_item: Callable[[Any], ItemProblem | None]
) -> Iterator[_LocatedProblem]:
    """Check a list of distinct strings, each with ``check_item``."""
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
        problem = check_item(item)
        if problem is not None:
            yield (*problem, suffix)
        elif item.lower() in seen:
            yield FindingCode.DUPLICATE_ITEM, f"{short_repr(item)} is listed twice", suffix
        seen.add(item.lower())


def _check_hosts(_setting: Setting, value: Any) -> Iterator[_LocatedProblem]:
    def check_host(item: str) -> ItemProblem | None:
        if is_host(item):
            return None
        return FindingCode.BAD_HOST, f"{short_repr(item)} is not a host name"

    return _check_list(value, check_host)


def check_zone_names(value: Any, path: Path) -> Iterator[Finding]:
    """Yield the findings about a list of zones in the form that node settings use."""

    def check_zone(item: str) -> ItemProblem | None:
        if is_zone_name(item):
            return None
        return FindingCode.BAD_NAME, f"{short_repr(item)} is not a zone name"

    for code, message, suffix in _check_list(value, check_zone):
        yield Finding(code, (*path, *suffix), message, ACCEPTED_ZONE_NAMES)


def _check_methods(setting: Setting, value: Any) -> Iterator[_LocatedProblem]:
    def check_method(item: str) -> ItemProblem | None:
        if item in setting.choices:
            return None
        return FindingCode.UNKNOWN_CHOICE, f"{short_repr(item)} is not one of the methods"

    return _check_list(value, check_method)


def _check_header_secrets(_setting: Setting, value: Any) -> Iterator[_LocatedProblem]:
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
            yield FindingCode.BAD_HEADER, f"{short_repr(header)} is not a header name", (header,)
        if not isinstance(secret, str):
            yield _wrong_type(secret, (header,))
        elif not is_name(secret):
            yield FindingCode.BAD_NAME, f"{short_repr(secret)} is not a name", (header,)


def _check_weights(setting: Setting, value: Any) -> Iterator[_LocatedProblem]:
    if not isinstance(value, dict):
        yield _wrong_type(value)
        return
    if len(value) > WEIGHTS_LIMIT:
        yield FindingCode.TOO_LARGE, f"{len(value)} services", ()
        return
    for service, weight in value.items():
        if not is_name(service):
            yield FindingCode.BAD_NAME, f"{short_repr(service)} is not a name", (service,)
        for code, message, _ in _check_integer(setting, weight):
            yield code, message, (service,)
    if value and not any(value.values()):
        yield FindingCode.OUT_OF_RANGE, "all weights are 0", ()


_CHECKS: Mapping[ValueKind, Callable[[Setting, Any], Iterator[_LocatedProblem]]] = {
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
