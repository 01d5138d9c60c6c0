"""Processor time and memory of one process, read from ``/proc/PID/stat`` on Linux."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
USER_TICKS_FIELD, SYSTEM_TICKS_FIELD, RESIDENT_PAGES_FIELD = 11, 12, 21
"""Indexes of fields in ``/proc/PID/stat`` after the command name; see proc(5)."""


@dataclass(frozen=True, slots=True)
class ProcessSample:
    """The processor time used so far and the resident memory of one process."""

    processor_seconds: float
    resident_bytes: int


def read_process(pid: int) -> ProcessSample:
    """Read the statistics of the process ``pid``.

    Raises:
        OSError: the process does not exist.
    """
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(") ")[2].split()
    ticks = int(fields[USER_TICKS_FIELD]) + int(fields[SYSTEM_TICKS_FIELD])
    resident = int(fields[RESIDENT_PAGES_FIELD]) * PAGE_BYTES
    return ProcessSample(ticks / TICKS_PER_SECOND, resident)
