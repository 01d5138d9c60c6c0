"""Removes deeply nested values from JSON documents, so that decoders can read the rest."""

from __future__ import annotations

import re

MAX_DEPTH = 64
"""Number of arrays and objects in one another that are kept. Decoders recurse for each level and
fail as a whole beyond their limit, which depends on the caller's stack."""
_TOKEN = re.compile(rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"?|[\[{]+|[\]}]+', re.DOTALL)
"""A string, or a run of opening or closing brackets. Brackets in strings do not count. A string
without an end extends to the end of the text, so that the search takes linear time."""


def without_deep_values(text: bytes, max_depth: int = MAX_DEPTH) -> bytes:
    """Return a JSON document in which ``null`` replaces arrays and objects beyond ``max_depth``.

    Text that is not valid JSON is returned changed or unchanged, and remains invalid.
    """
    kept: list[bytes] = []
    depth = kept_up_to = 0
    for token in _TOKEN.finditer(text):
        start, end, first = token.start(), token.end(), text[token.start()]
        if first in b"[{":
            if depth <= max_depth < depth + end - start:
                kept.append(text[kept_up_to : start + max_depth - depth])
                kept.append(b"null")
            depth += end - start
        elif first in b"]}":
            if depth - (end - start) <= max_depth < depth:
                kept_up_to = start + depth - max_depth
            depth -= end - start
    if depth <= max_depth:
        kept.append(text[kept_up_to:])
    return b"".join(kept)
