"""Keeps libraries that a node never uses out of its start.

Libraries import ``trio`` where they find it, though only programs that run on trio need
it. On a machine that has it this was a fifth of a node's start while httpcore was part of
it (measured: 138 of 650 ms), and a node that starts refuses requests.
"""

from __future__ import annotations

import sys

UNUSED = ("trio",)
"""Optional dependencies of libraries; each library does without one that is absent."""


def decline_unused() -> None:
    """Let later imports of unused libraries fail as if they were not installed."""
    for name in UNUSED:
        if name not in sys.modules:
            sys.modules[name] = None  # type: ignore[assignment]
