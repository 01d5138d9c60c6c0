"""Loads settings: flags override the file, which overrides defaults; errors are typed."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from enum import Enum
from os import PathLike
from types import UnionType
from typing import Any, get_args, get_origin

import msgspec

from pewtertack.settings.checks import check_settings
from pewtertack.settings.errors import (
    FileEncodingError,
    FileSyntaxError,
    FileUnreadableError,
    MissingKeyError,
    MissingSectionError,
    ProfileUnknownError,
    SectionTypeError,
    UnknownKeyError,
    UnknownSectionError,
    ValueTypeError,
)
from pewtertack.settings.schema import ProfileName, Settings
from pewtertack.settings.values import PARSED_TYPES, ValueProblemError

FLAG_LOCATION = "flag"


class SettingKey(msgspec.Struct, frozen=True):
    """The name of a setting: ``section.key``."""

    section: str
    key: str

    def __str__(self) -> str:
        return f"{self.section}.{self.key}"


Flags = Mapping[SettingKey, Any]
"""Values from the command line; they take precedence over the file."""


def load_settings(path: str | PathLike[str], flags: Flags | None = None) -> Settings:
    """Return the settings of the file at ``path``, overridden by ``flags``.

    Raises:
        SettingError: one of the types of ``pewtertack.settings.errors``.
    """
    return build_settings(read_toml(path), str(path), flags or {})


def read_toml(path: str | PathLike[str]) -> dict[str, Any]:
    """Return the tables of a TOML file.

    Raises:
        FileUnreadableError: the file cannot be read.
        FileEncodingError: the file is not UTF-8.
        FileSyntaxError: the text is not TOML.
    """
    try:
        with open(path, "rb") as file:
            text = file.read().decode()
    except OSError as error:
        problem = error.strerror or "cannot be read"
        raise FileUnreadableError(str(path), "", problem, "a readable TOML file") from error
    except UnicodeDecodeError as error:
        raise FileEncodingError(str(path), "", "not UTF-8", "UTF-8 text") from error
    try:
        return tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        raise FileSyntaxError(str(path), "", str(error), "TOML 1.0") from error


def build_settings(tables: Mapping[str, Any], location: str, flags: Flags) -> Settings:
    """Return the validated settings of ``tables``, overridden by ``flags``.

    ``location`` is the path of the file, used in errors.

    Raises:
        SettingError: one of the types of ``pewtertack.settings.errors``.
    """
    sections = {field.name: field for field in msgspec.structs.fields(Settings)}
    _check_section_names(tables, sections, location)
    values: dict[str, Any] = {}
    for name, field in sections.items():
        reader = _SectionReader(name, location, flags)
        table = tables.get(name)
        if table is None and field.required and not reader.has_flags:
            raise MissingSectionError(
                location, name, "is missing", reader.accepted_keys(field.type)
            )
        values[name] = reader.read(table or {}, field.type)
    settings = Settings(**values)
    check_settings(settings, location)
    return settings


def _check_section_names(
    tables: Mapping[str, Any], sections: Mapping[str, Any], location: str
) -> None:
    for name, table in tables.items():
        if name not in sections:
            accepted = ", ".join(sections)
            raise UnknownSectionError(location, name, "no such section", accepted)
        if not isinstance(table, dict):
            raise SectionTypeError(location, name, "a plain value", f"a table [{name}]")


class _SectionReader:
    """Converts one TOML table to its struct."""

    def __init__(self, section: str, location: str, flags: Flags) -> None:
        self._section = section
        self._location = location
        self._flags = {key.key: value for key, value in flags.items() if key.section == section}

    @property
    def has_flags(self) -> bool:
        return bool(self._flags)

    def accepted_keys(self, section_type: Any) -> str:
        return ", ".join(field.name for field in msgspec.structs.fields(section_type))

    def read(self, table: Mapping[str, Any], section_type: Any) -> Any:
        fields = msgspec.structs.fields(section_type)
        known_keys = {field.name for field in fields}
        for key in table:
            if key not in known_keys:
                accepted = self.accepted_keys(section_type)
                raise UnknownKeyError(self._location, self._key(key), "no such key", accepted)
        merged = {**table, **self._flags}
        values = {}
        for field in fields:
            if field.name in merged:
                values[field.name] = self._convert_setting(
                    field.name, merged[field.name], field.type
                )
            elif field.required:
                raise MissingKeyError(
                    self._location, self._key(field.name), "is missing", describe_type(field.type)
                )
        return section_type(**values)

    def _convert_setting(self, name: str, raw: Any, value_type: Any) -> Any:
        is_flag = name in self._flags
        location = FLAG_LOCATION if is_flag else self._location
        try:
            return _convert(raw, value_type, strict=not is_flag)
        except ValueProblemError as error:
            raise error.error_type(
                location, self._key(name), error.problem, error.accepted
            ) from error

    def _key(self, name: str) -> str:
        return f"{self._section}.{name}"


def _convert(raw: Any, value_type: Any, strict: bool) -> Any:
    """Convert ``raw`` to ``value_type``; unless ``strict``, numbers may be given as text.

    Raises:
        ValueProblemError: the value is invalid. Messages never repeat a value of the wrong type,
            which may be a secret.
    """
    if isinstance(value_type, UnionType):
        value_type = get_args(value_type)[0]
    if value_type in PARSED_TYPES:
        return value_type.parse(_require_string(raw, value_type))
    if get_origin(value_type) is tuple:
        if not isinstance(raw, list | tuple):
            raise _type_problem(raw, value_type)
        return tuple(_convert(item, get_args(value_type)[0], strict) for item in raw)
    try:
        return msgspec.convert(raw, value_type, strict=strict)
    except msgspec.ValidationError as error:
        if value_type is ProfileName and isinstance(raw, str):
            accepted = describe_type(value_type)
            raise ValueProblemError(ProfileUnknownError, repr(raw), accepted) from error
        raise _type_problem(raw, value_type) from error


def _require_string(raw: Any, value_type: Any) -> str:
    if not isinstance(raw, str):
        raise _type_problem(raw, value_type)
    return raw


def _type_problem(raw: Any, value_type: Any) -> ValueProblemError:
    problem = f"a value of type {type(raw).__name__}"
    return ValueProblemError(ValueTypeError, problem, describe_type(value_type))


def describe_type(value_type: Any) -> str:
    """Return a description of the values that a type accepts."""
    if isinstance(value_type, UnionType):
        parts = (part for part in get_args(value_type) if part is not type(None))
        return " or ".join(describe_type(part) for part in parts)
    if value_type in PARSED_TYPES:
        return str(value_type.accepted)
    if isinstance(value_type, type) and issubclass(value_type, Enum):
        return ", ".join(f'"{member.value}"' for member in value_type)
    if arguments := get_args(value_type):
        return f"a list of {describe_type(arguments[0])}"
    return {int: "an integer", float: "a number", str: "a string", bool: "true or false"}[
        value_type
    ]
