"""Percent-encoding of paths (RFC 3986), as UTF-8."""

from __future__ import annotations

import re
import string

PLAIN = string.ascii_letters + string.digits + "-._~/!$&'()*+,;=:@%"
"""Characters that stay as they are in a path."""

_ENCODED = re.compile("(?:%[0-9A-Fa-f]{2})+")
_STRAY_PERCENT = re.compile("%(?![0-9A-Fa-f]{2})")
_DOT_SEGMENT = re.compile(r"(?<=/)\.\.?(?=/|$)")
_EMPTY_SEGMENT = re.compile("(?<=/)/")


def encode(path: str) -> str:
    """Return ``path`` with the characters encoded that no path may have; escapes are kept."""
    whole = _STRAY_PERCENT.sub("%25", path)
    return "".join(char if char in PLAIN else _encoded(char) for char in whole)


def encode_segments(path: str) -> str:
    """Return ``path`` encoded, including its empty, "." and ".." segments."""
    encoded = _DOT_SEGMENT.sub(lambda dots: dots[0].replace(".", "%2E"), encode(path))
    return _EMPTY_SEGMENT.sub("%2F", encoded)


def decode(path: str) -> str:
    """Return ``path`` with its escapes decoded; bytes that are not UTF-8 become U+FFFD."""
    return _ENCODED.sub(_decoded, path) if "%" in path else path


def _encoded(char: str) -> str:
    return "".join(f"%{byte:02X}" for byte in char.encode(errors="replace"))


def _decoded(found: re.Match[str]) -> str:
    return bytes.fromhex(found[0].replace("%", "")).decode(errors="replace")
