"""The published JSON schema of the tree, generated from the model.

The schema covers one tree as it is written. Only ``validation`` checks rules that involve several
tables: a route's service and secrets exist, no two routes match the same requests, and delete
targets exist.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from pewtertack.core.configuration.model import (
    DELETE,
    DELETE_TARGETS_LIMIT,
    DURATION_PATTERN,
    HEAD_BYTES_SETTING,
    HEADER_PATTERN,
    HOST_LENGTH_LIMIT,
    HOST_PATTERN,
    LIST_LENGTH_LIMIT,
    NAME_PATTERN,
    NAMES_LIMIT,
    PATH_LENGTH_LIMIT,
    PATH_PREFIX_PATTERN,
    REQUEST_TARGET_PATTERN,
    RESERVED_HEADERS,
    ROUTE_DEFAULT_SETTINGS,
    ROUTE_SETTINGS,
    SECRET_LENGTH_LIMIT,
    SECRET_PATTERN,
    SERVICE_SETTINGS,
    WEIGHTS_LIMIT,
    ZONE_LIMIT,
    ZONE_NAME_PATTERN,
    ZONES,
    RootSection,
    Section,
    Setting,
    ValueKind,
)

SCHEMA_DIALECT = "https://json-schema.org/draft/2020-12/schema"

Schema = dict[str, Any]


def json_schema() -> Schema:
    """Return the JSON schema of a tree."""
    sections = _sections()
    targets = {"type": "array", "items": {"type": "string"}, "uniqueItems": True}
    zone_properties = {**sections, DELETE: {**targets, "maxItems": DELETE_TARGETS_LIMIT}}
    zone = _closed_object(zone_properties)
    return {
        "$schema": SCHEMA_DIALECT,
        "title": "pewtertack configuration tree",
        **_closed_object({**sections, **_root_sections(), ZONES: _named_values(zone, ZONE_LIMIT)}),
    }


def _sections() -> Schema:
    secret = {
        "type": "string",
        "pattern": _anchored(SECRET_PATTERN),
        "maxLength": SECRET_LENGTH_LIMIT,
    }
    route_defaults = _settings_schema(ROUTE_DEFAULT_SETTINGS)
    service = _closed_object(
        {**_properties(SERVICE_SETTINGS), Section.ROUTE_DEFAULTS.value: route_defaults}
    )
    return {
        Section.ROUTE_DEFAULTS.value: route_defaults,
        Section.SERVICE_DEFAULTS.value: _settings_schema(SERVICE_SETTINGS),
        Section.SECRETS.value: _named_values(secret),
        Section.SERVICES.value: _named_values(service),
        Section.ROUTES.value: _named_values(_settings_schema(ROUTE_SETTINGS)),
    }


def _root_sections() -> Schema:
    zones = _list_schema({"type": "string", "pattern": _anchored(ZONE_NAME_PATTERN)})
    zones["description"] = "Zones whose back ends must not receive requests."
    return {
        RootSection.EVACUATED_ZONES.value: zones,
        RootSection.HEAD_BYTES.value: _setting_schema(HEAD_BYTES_SETTING),
    }


def _settings_schema(settings: Mapping[str, Setting]) -> Schema:
    return _closed_object(_properties(settings))


def _properties(settings: Mapping[str, Setting]) -> Schema:
    return {name: _setting_schema(setting) for name, setting in settings.items()}


def _setting_schema(setting: Setting) -> Schema:
    schema = {"description": f"{setting.meaning} Accepted: {setting.accepted}."}
    schema.update(_value_schema(setting))
    if setting.default is not None:
        schema["default"] = setting.default
    return schema


def _value_schema(setting: Setting) -> Schema:
    bounds = {"minimum": setting.minimum, "maximum": setting.maximum}
    schemas: Mapping[ValueKind, Schema] = {
        ValueKind.DURATION: {"type": "string", "pattern": _anchored(DURATION_PATTERN)},
        ValueKind.INTEGER: {"type": "integer", **bounds},
        ValueKind.RATIO: {"type": "number", **bounds},
        ValueKind.BOOLEAN: {"type": "boolean"},
        ValueKind.CHOICE: {"enum": list(setting.choices)},
        ValueKind.NAME: {"type": "string", "pattern": _anchored(NAME_PATTERN)},
        ValueKind.PATH_PREFIX: {
            "type": "string",
            "pattern": _anchored(PATH_PREFIX_PATTERN),
            "maxLength": PATH_LENGTH_LIMIT,
        },
        ValueKind.REQUEST_TARGET: {
            "type": "string",
            "pattern": _anchored(REQUEST_TARGET_PATTERN),
            "maxLength": PATH_LENGTH_LIMIT,
        },
        ValueKind.HOSTS: _list_schema(
            {"type": "string", "pattern": _anchored(HOST_PATTERN), "maxLength": HOST_LENGTH_LIMIT}
        ),
        ValueKind.METHODS: _list_schema({"enum": list(setting.choices)}),
        ValueKind.HEADER_SECRETS: {
            "type": "object",
            "propertyNames": {
                "pattern": _anchored(HEADER_PATTERN),
                "not": {"enum": sorted(RESERVED_HEADERS)},
            },
            "additionalProperties": {"type": "string", "pattern": _anchored(NAME_PATTERN)},
            "maxProperties": LIST_LENGTH_LIMIT,
        },
        ValueKind.WEIGHTS: {
            "type": "object",
            "propertyNames": {"pattern": _anchored(NAME_PATTERN)},
            "additionalProperties": {"type": "integer", **bounds},
            "maxProperties": WEIGHTS_LIMIT,
        },
    }
    return schemas[setting.kind]


def _list_schema(items: Schema) -> Schema:
    return {"type": "array", "items": items, "uniqueItems": True, "maxItems": LIST_LENGTH_LIMIT}


def _closed_object(properties: Schema) -> Schema:
    return {"type": "object", "properties": properties, "additionalProperties": False}


def _named_values(values: Schema, limit: int = NAMES_LIMIT) -> Schema:
    """Return the schema of a table whose keys operators choose."""
    return {
        "type": "object",
        "propertyNames": {"pattern": _anchored(NAME_PATTERN)},
        "additionalProperties": values,
        "maxProperties": limit,
    }


def _anchored(pattern: str) -> str:
    """Anchor ``pattern`` at both ends, since a pattern in a schema may match anywhere."""
    return f"^(?:{pattern})$"
