"""Exit codes of every command."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """Meaning of an exit code."""

    OK = 0
    """Success; for ``check`` a valid tree, for ``diff`` no difference."""
    FOUND = 1
    """``check`` has findings, ``diff`` has differences, or a lab run violated a promise; for
    ``rollout``, the revision is not in force everywhere yet."""
    UNUSABLE_INPUT = 2
    """Wrong usage, an unreadable file, or input that the command cannot process."""
    REJECTED = 3
    """For ``rollout``: a node has rejected the revision."""
    UNREACHABLE = 4
    """For ``rollout``: some nodes are unreachable, and all others have the revision in force."""
