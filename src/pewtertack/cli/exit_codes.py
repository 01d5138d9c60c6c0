"""Exit codes of every command."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """What a command's exit code means."""

    OK = 0
    """Done; for ``check`` a valid tree, for ``diff`` no difference."""
    FOUND = 1
    """``check`` has findings, ``diff`` differences, a run of the lab a broken promise;
    ``rollout``: the revision is not in force everywhere yet."""
    UNUSABLE_INPUT = 2
    """Wrong usage, an unreadable file, or input that the command cannot work on."""
    REJECTED = 3
    """For ``rollout``: a node has refused the revision."""
    UNREACHABLE = 4
    """For ``rollout``: some nodes do not answer, all others have the revision in force."""
