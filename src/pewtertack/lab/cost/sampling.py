"""Memory and processor time of one process, as Linux accounts for them."""

from __future__ import annotations

import time
from dataclasses import dataclass
from pathlib import Path

from pewtertack.lab.process_statistics import read_process

BYTES_PER_KIBIBYTE = 1024


@dataclass(frozen=True, slots=True)
class ProcessMemory:
    """Resident memory of a process; the private bytes are not shared with any other process."""

    resident_bytes: int
    private_bytes: int


@dataclass(frozen=True, slots=True)
class TimedProcessSample:
    """Usage of a process at one time. ``time`` is monotonic; both times are in seconds."""

    time: float
    processor_seconds: float
    memory: ProcessMemory


def sample_process(pid: int) -> TimedProcessSample:
    """Sample the running process ``pid``."""
    rollup = Path(f"/proc/{pid}/smaps_rollup").read_text()
    return TimedProcessSample(
        time.monotonic(), read_process(pid).processor_seconds, parse_memory(rollup)
    )


def parse_memory(smaps_rollup: str) -> ProcessMemory:
    """Parse the contents of ``/proc/PID/smaps_rollup``."""
    kibibytes = {}
    for line in smaps_rollup.splitlines()[1:]:
        name, _, value = line.partition(":")
        kibibytes[name] = int(value.split()[0])
    private_kibibytes = kibibytes["Private_Clean"] + kibibytes["Private_Dirty"]
    return ProcessMemory(
        kibibytes["Rss"] * BYTES_PER_KIBIBYTE, private_kibibytes * BYTES_PER_KIBIBYTE
    )


def processor_share(first: TimedProcessSample, last: TimedProcessSample) -> float:
    """Return the fraction of one core that the process used between two samples."""
    return (last.processor_seconds - first.processor_seconds) / (last.time - first.time)
