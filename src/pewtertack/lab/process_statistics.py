"""What Linux accounts of one process of the lab, read from ``/proc/PID/stat``."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
USER_TICKS_FIELD, SYSTEM_TICKS_FIELD, RESIDENT_PAGES_FIELD = 11, 12, 21
"""Positions in ``/proc/PID/stat`` after the command's name, see proc(5)."""


@dataclass(frozen=True, slots=True)
class ProcessSample:
    """Processor seconds so far and resident bytes of one process."""

    processor_seconds: float
    resident_bytes: int


def read_process(pid: int) -> ProcessSample:
    """Read one process.

    Raises:
        OSError: it has ended.
    """
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(") ")[2].split()
    ticks = int(fields[USER_TICKS_FIELD]) + int(fields[SYSTEM_TICKS_FIELD])
    resident = int(fields[RESIDENT_PAGES_FIELD]) * PAGE_BYTES
    return ProcessSample(ticks / TICKS_PER_SECOND, resident)
