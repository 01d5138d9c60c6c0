"""Exit codes of every command."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """What a command's exit code means."""

    OK = 0
    """Done; for ``check`` a valid tree, for ``diff`` no difference."""
    FOUND = 1
    """``check`` has findings, ``diff`` differences, a run of the lab a broken promise."""
    UNUSABLE_INPUT = 2
    """Wrong usage, an unreadable file, or input that the command cannot work on."""
