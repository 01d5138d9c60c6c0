"""JSON with integers of any size; msgspec encodes those of up to 64 bits."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec


def encode_json(value: Any, enc_hook: Callable[[Any], Any] | None = None) -> bytes:
    """Return ``value`` as JSON.

    Args:
        value: anything that msgspec encodes, with integers of any size.
        enc_hook: returns a replacement for a value of another type, as for msgspec.
    """
    try:
        return msgspec.json.encode(value, enc_hook=enc_hook)
    except OverflowError:
        import json  # takes memory that only nodes with such integers need

        plain = msgspec.to_builtins(value, str_keys=True, enc_hook=enc_hook)
        return json.dumps(plain, separators=(",", ":"), ensure_ascii=False).encode()
