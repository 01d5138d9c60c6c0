"""Resident memory of this process, and its limit during a run."""

from __future__ import annotations

import os
from pathlib import Path
from typing import ClassVar

from pewtertack.errors import LabError

MAX_MEMORY_SHARE = 0.5
"""Fraction of the machine's memory at which a run is aborted."""


class MemoryLimitError(LabError):
    """A run reached its memory limit."""

    code: ClassVar[str] = "memory-limit"


def resident_bytes() -> int:
    """Return the resident memory of this process in bytes."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def memory_limit_bytes() -> int:
    """Return the memory limit of a run in bytes."""
    total_bytes = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
    return int(total_bytes * MAX_MEMORY_SHARE)


def check_memory() -> int:
    """Return the resident memory of this process in bytes.

    Raises:
        MemoryLimitError: the memory has reached the limit.
    """
    used_bytes = resident_bytes()
    if used_bytes >= memory_limit_bytes():
        raise MemoryLimitError(
            f"{used_bytes} bytes of memory in use, limit is {memory_limit_bytes()}"
        )
    return used_bytes
