"""Memory and processor time of one process of the lab, as Linux accounts for them."""

from __future__ import annotations

import time
from dataclasses import dataclass
from pathlib import Path

from pewtertack.lab.process_statistics import read_process

KIBIBYTE = 1024


@dataclass(frozen=True, slots=True)
class ProcessMemory:
    """Bytes. ``private`` are those that no other process shares."""

    resident: int
    private: int


@dataclass(frozen=True, slots=True)
class ProcessSample:
    """A process at one moment; ``time`` is monotonic, both times in seconds."""

    time: float
    processor_seconds: float
    memory: ProcessMemory


def sample_process(pid: int) -> ProcessSample:
    """Read a running process."""
    rollup = Path(f"/proc/{pid}/smaps_rollup").read_text()
    return ProcessSample(
        time.monotonic(), read_process(pid).processor_seconds, parse_memory(rollup)
    )


def parse_memory(smaps_rollup: str) -> ProcessMemory:
    """Read the text of ``/proc/PID/smaps_rollup``."""
    kibibytes = {}
    for line in smaps_rollup.splitlines()[1:]:
        name, _, value = line.partition(":")
        kibibytes[name] = int(value.split()[0])
    private = kibibytes["Private_Clean"] + kibibytes["Private_Dirty"]
    return ProcessMemory(kibibytes["Rss"] * KIBIBYTE, private * KIBIBYTE)


def processor_share(first: ProcessSample, last: ProcessSample) -> float:
    """Return the share of one core that the process used between two samples."""
    return (last.processor_seconds - first.processor_seconds) / (last.time - first.time)
