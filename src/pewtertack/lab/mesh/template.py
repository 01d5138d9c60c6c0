"""Fills in the template of a node's settings as the users' platform does."""

from __future__ import annotations

import json
import re
from collections.abc import Mapping
from typing import Any

_SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
"""A part that is left out if its field is absent."""
_FIELD = re.compile(r"\{\{([\w.]+)(\|json)?\}\}")


def fill_template(template: str, fields: Mapping[str, Any]) -> str:
    """Return the template with its fields replaced; an absent field is replaced by nothing."""

    def keep_if_present(match: re.Match[str]) -> str:
        return match[2] if _find_field(fields, match[1]) is not None else ""

    def replace_field(match: re.Match[str]) -> str:
        value = _find_field(fields, match[1])
        if match[2]:
            return json.dumps(value)
        return "" if value is None else str(value)

    return _FIELD.sub(replace_field, _SECTION.sub(keep_if_present, template))


def _find_field(fields: Any, path: str) -> Any:
    """Return the value at a dotted path, ``None`` if there is none."""
    value = fields
    for name in path.split("."):
        if isinstance(value, Mapping):
            value = value.get(name)
        elif isinstance(value, list) and name.isdecimal() and int(name) < len(value):
            value = value[int(name)]
        else:
            return None
    return value
