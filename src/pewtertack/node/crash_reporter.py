"""Between a node's request path and what its core knows of requests that end back ends."""

from __future__ import annotations

import hashlib
from collections.abc import Callable

from pewtertack.core.crashes.ledger import CrashLedger
from pewtertack.core.inputs import BackendCrashed, Input, SuspectAnswered
from pewtertack.node import clock

SAME_END_SECONDS = 5.0
"""Ends of one back end within a period of this length count as one where several nodes see
them. Two nodes whose times of day lie in two periods count one end twice: with clocks 50 ms
apart, one end in a hundred."""


def _feed_nobody(event: Input) -> None:
    """Tell nobody."""


def _may_not_try(fingerprint: bytes) -> bool:
    return False


class CrashReporter:
    """The node's ledger, and where the request path reports what it saw.

    A node without a core keeps a ledger that stays empty.
    """

    def __init__(self) -> None:
        self.ledger = CrashLedger(_may_not_try)
        self._feed: Callable[[Input], None] = _feed_nobody

    def connect(self, ledger: CrashLedger, feed: Callable[[Input], None]) -> None:
        """Use the core's ledger, and tell the core through ``feed``."""
        self.ledger = ledger
        self._feed = feed

    def report_crash(self, fingerprints: tuple[bytes, ...]) -> None:
        """The back end beside this node ended while it ran these requests."""
        self._feed(BackendCrashed(fingerprints))

    def report_remote_crash(self, backend: str, fingerprints: tuple[bytes, ...]) -> None:
        """A back end that several nodes send requests to ended while it ran these."""
        self._feed(BackendCrashed(fingerprints, _number_of(backend, clock.unix_time())))

    def report_suspect_answered(self, fingerprint: bytes) -> None:
        """The back end beside this node answered a request that is a suspect."""
        self._feed(SuspectAnswered(fingerprint))


def _number_of(backend: str, at: float) -> int:
    """Return the number of a back end's end at this Unix time, the same at every node."""
    key = f"{backend} {int(at / SAME_END_SECONDS)}".encode()
    return int.from_bytes(hashlib.blake2b(key, digest_size=7).digest(), "big")
