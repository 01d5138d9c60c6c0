"""Resident memory of this process, and the limit that a run keeps to."""

from __future__ import annotations

import os
from pathlib import Path
from typing import ClassVar

from pewtertack.errors import LabError

MEMORY_SHARE = 0.5
"""A run stops before it takes this share of the machine's memory."""


class MemoryLimitError(LabError):
    """A run would take more memory than it may."""

    code: ClassVar[str] = "memory-limit"


def resident_bytes() -> int:
    """Return the resident memory of this process."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def memory_limit() -> int:
    """Return the most bytes that a run may take."""
    total = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
    return int(total * MEMORY_SHARE)


def check_memory() -> int:
    """Return the resident memory.

    Raises:
        MemoryLimitError: it has reached the limit.
    """
    used = resident_bytes()
    if used >= memory_limit():
        raise MemoryLimitError(f"{used} bytes are in use, {memory_limit()} are allowed")
    return used
