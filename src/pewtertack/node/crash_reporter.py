"""Connects a node's request path to its core's ledger of requests that crash back ends."""

from __future__ import annotations

import hashlib
from collections.abc import Callable

from pewtertack.core.crashes.ledger import CrashLedger
from pewtertack.core.inputs import BackendCrashed, Input, SuspectAnswered
from pewtertack.node import clock

CRASH_PERIOD_SECONDS = 5.0
"""Crashes of one back end within a period of this length count as one where several nodes see them.
Two nodes whose clocks fall into different periods count one crash twice: with clocks 50 ms apart,
one crash in a hundred."""


def _discard(event: Input) -> None:
    """Discard the event."""


def _never_probe(_fingerprint: bytes) -> bool:
    return False


class CrashReporter:
    """Gives access to the node's crash ledger and passes on crashes seen by the request path.

    A node without a core keeps a ledger that stays empty.
    """

    def __init__(self) -> None:
        self.ledger = CrashLedger(_never_probe)
        self._feed: Callable[[Input], None] = _discard

    def connect(self, ledger: CrashLedger, feed: Callable[[Input], None]) -> None:
        """Use the core's ledger, and pass events to the core through ``feed``."""
        self.ledger = ledger
        self._feed = feed

    def report_crash(self, fingerprints: tuple[bytes, ...]) -> None:
        """Report that the local back end crashed while it ran these requests."""
        self._feed(BackendCrashed(fingerprints))

    def report_remote_crash(self, backend: str, fingerprints: tuple[bytes, ...]) -> None:
        """Report a crash of a back end while it ran these requests.

        Other nodes that send requests to the same back end may report it too.
        """
        self._feed(BackendCrashed(fingerprints, _crash_number(backend, clock.unix_time())))

    def report_suspect_answered(self, fingerprint: bytes) -> None:
        """Report that the local back end answered a request that is a suspect."""
        self._feed(SuspectAnswered(fingerprint))


def _crash_number(backend: str, unix_time: float) -> int:
    """Return the number of a back end's crash at this Unix time, the same on every node."""
    key = f"{backend} {int(unix_time / CRASH_PERIOD_SECONDS)}".encode()
    return int.from_bytes(hashlib.blake2b(key, digest_size=7).digest(), "big")
