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


def decode(path: str) -> str:
    """Return ``path`` with its escapes decoded; bytes that are not UTF-8 become U+FFFD."""
    return _ENCODED.sub(_decoded, path) if "%" in path else path


def _encoded(character: str) -> str:
    return "".join(f"%{byte:02X}" for byte in character.encode(errors="replace"))


def _decoded(match: re.Match[str]) -> str:
    return bytes.fromhex(match[0].replace("%", "")).decode(errors="replace")
