"""Measure size and processor time of peer frames, and the memory of replay windows.

PYTHONPATH=src python tools/measure_frames.py
"""

from __future__ import annotations

import timeit
import tracemalloc
from collections.abc import Callable

from pewtertack.core.revision import RevisionId
from pewtertack.wire.frames import Envelope, FrameReader, encode_frame
from pewtertack.wire.messages import (
    Announce,
    HeldReport,
    MemberStatus,
    MemberUpdate,
    Message,
    Ping,
    VersionState,
)
from pewtertack.wire.replay import WINDOW_COUNTERS, ReplayGuard

KEY = bytes(32)
ROUNDS = 5
FRAMES = 5000
FLEET_SIZE = 1700
INCARNATION = 1_790_000_000_000
REVISION = RevisionId(600, bytes(16))
STATE = VersionState(REVISION, REVISION, REVISION, True)
UPDATE = MemberUpdate("ikeja-17", "10.0.0.17:8001", "ikeja", "lagos", INCARNATION, MemberStatus(0))
MESSAGES: dict[str, Message] = {
    "Ping": Ping(123_456, STATE),
    "Ping with 1 update": Ping(123_456, STATE, (UPDATE,)),
    "Ping with 6 updates": Ping(123_456, STATE, (UPDATE,) * 6),
    "Announce": Announce(STATE),
    "HeldReport": HeldReport(REVISION),
}


def frame(counter: int, message: Message) -> bytes:
    """Return one frame."""
    return encode_frame(Envelope("ikeja-17", "10.0.0.17:8001", INCARNATION, counter, message), KEY)


def microseconds(action: Callable[[], object]) -> float:
    """Return the best of several rounds, for one call."""
    return min(timeit.repeat(action, number=FRAMES, repeat=ROUNDS)) / FRAMES * 1e6


def main() -> None:
    """Print one line a message kind and the replay windows' memory."""
    for name, message in MESSAGES.items():
        frames = iter([frame(counter, message) for counter in range(FRAMES * ROUNDS)])
        reader = FrameReader(KEY)
        encode = microseconds(lambda message=message: frame(1, message))
        read = microseconds(lambda reader=reader, frames=frames: reader.read(next(frames)))
        size = len(frame(FRAMES, message))
        print(f"{name:20} {size:4} bytes, encode {encode:5.1f} us, read {read:5.1f} us")
    tracemalloc.start()
    guard = ReplayGuard()
    for node in range(FLEET_SIZE):
        for counter in range(WINDOW_COUNTERS):
            guard.accept(f"node-{node}", INCARNATION, counter)
    kibibytes = tracemalloc.get_traced_memory()[0] / 1024
    print(f"full replay windows of {FLEET_SIZE} processes: {kibibytes:.0f} KiB")


if __name__ == "__main__":
    main()
