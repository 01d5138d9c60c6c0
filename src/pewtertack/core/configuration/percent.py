"""Percent-encoding of paths (RFC 3986), as UTF-8."""

from __future__ import annotations

import re
import string

UNENCODED = string.ascii_letters + string.digits + "-._~/!$&'()*+,;=:@%"
"""Characters that are not encoded in a path, including the percent sign of escapes."""

_ENCODED = re.compile("(?:%[0-9A-Fa-f]{2})+")
_STRAY_PERCENT = re.compile("%(?![0-9A-Fa-f]{2})")
_DOT_SEGMENT = re.compile(r"(?<=/)\.\.?(?=/|$)")
_EMPTY_SEGMENT = re.compile("(?<=/)/")
_ENCODED_EMPTY_SEGMENTS = re.compile("(?<=/)(?:%2[Ff])+")
_KEPT_ESCAPE = re.compile("(%2[Ff]|%25)")
"""Escapes that ``decode_segments`` keeps: without them a path has other segments or escapes."""


def encode(path: str) -> str:
    """Return ``path`` with all characters encoded that a path cannot contain; escapes are kept."""
    escaped = _STRAY_PERCENT.sub("%25", path)
    return "".join(
        character if character in UNENCODED else _encoded(character) for character in escaped
    )


def encode_segments(path: str) -> str:
    """Return ``path`` encoded, including its empty, "." and ".." segments."""
    encoded = _DOT_SEGMENT.sub(lambda match: match[0].replace(".", "%2E"), encode(path))
    return _EMPTY_SEGMENT.sub("%2F", encoded)


def decode_segments(path: str) -> str:
    """Return ``path`` with its escapes decoded, except those of slashes and percent signs.

    Equivalent paths are equal in this form. Bytes that are not UTF-8 become U+FFFD.
    """
    parts = _KEPT_ESCAPE.split(_STRAY_PERCENT.sub("%25", path))
    return "".join(
        part.upper() if index % 2 else _ENCODED.sub(_decoded, part)
        for index, part in enumerate(parts)
    )


def decode_prefix(prefix: str) -> str:
    """Return a path prefix of a tree as ``decode_segments`` does, with its empty segments."""
    return decode_segments(
        _ENCODED_EMPTY_SEGMENTS.sub(lambda match: "/" * (len(match[0]) // 3), prefix)
    )


def _encoded(character: str) -> str:
    return "".join(f"%{byte:02X}" for byte in character.encode(errors="replace"))


def _decoded(match: re.Match[str]) -> str:
    return bytes.fromhex(match[0].replace("%", "")).decode(errors="replace")
