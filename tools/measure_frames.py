"""Measure the size and encoding times of peer frames, and the memory of replay windows.

PYTHONPATH=src python tools/measure_frames.py
"""

from __future__ import annotations

import timeit
import tracemalloc
from collections.abc import Callable, Iterator
from functools import partial

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
ROUND_FRAMES = 5000
FLEET_SIZE = 1700
INCARNATION = 1_790_000_000_000
REVISION = RevisionId(600, bytes(16))
STATE = VersionState.of(REVISION, REVISION, REVISION.number, True)
UPDATE = MemberUpdate("ikeja-17", "10.0.0.17:8001", "ikeja", "lagos", INCARNATION, MemberStatus(0))
MESSAGES: dict[str, Message] = {
    "Ping": Ping(123_456, STATE),
    "Ping with 1 update": Ping(123_456, STATE, (UPDATE,)),
    "Ping with 6 updates": Ping(123_456, STATE, (UPDATE,) * 6),
    "Announce": Announce(STATE),
    "HeldReport": HeldReport(REVISION),
}


def encode_message(counter: int, message: Message) -> bytes:
    """Return the frame of one message."""
    return encode_frame(Envelope("ikeja-17", "10.0.0.17:8001", INCARNATION, counter, message), KEY)


def best_microseconds(action: Callable[[], object], calls: int) -> float:
    """Return the time of one call in the fastest of several rounds of ``calls`` calls."""
    return min(timeit.repeat(action, number=calls, repeat=ROUNDS)) / calls * 1e6


def read_next(reader: FrameReader, frames: Iterator[bytes]) -> None:
    """Read the next frame."""
    reader.read(next(frames))


def main(round_frames: int = ROUND_FRAMES, fleet_size: int = FLEET_SIZE) -> None:
    """Print one line per kind of message, and the memory of full replay windows.

    Args:
        round_frames: frames that are encoded and read in each round.
        fleet_size: processes with a full replay window.
    """
    for name, message in MESSAGES.items():
        frames = iter(
            [encode_message(counter, message) for counter in range(round_frames * ROUNDS)]
        )
        reader = FrameReader(KEY)
        encode_time = best_microseconds(partial(encode_message, 1, message), round_frames)
        read_time = best_microseconds(partial(read_next, reader, frames), round_frames)
        size = len(encode_message(round_frames, message))
        print(f"{name:20} {size:4} bytes, encode {encode_time:5.1f} us, read {read_time:5.1f} us")
    tracemalloc.start()
    guard = ReplayGuard()
    for node in range(fleet_size):
        for counter in range(WINDOW_COUNTERS):
            guard.accept(f"node-{node}", INCARNATION, counter)
    kibibytes = tracemalloc.get_traced_memory()[0] / 1024
    print(f"full replay windows of {fleet_size} processes: {kibibytes:.0f} KiB")


if __name__ == "__main__":
    main()
