"""Protects back ends from one request that may crash them, for proxy and gateway."""

from __future__ import annotations

from pewtertack.node.crash_reporter import CrashReporter
from pewtertack.node.crash_watch import BrokenExchange, CrashDetector
from pewtertack.node.proxy.content import RequestContent
from pewtertack.node.proxy.exchange import TruncatedAnswerError
from pewtertack.routing.outcomes import (
    BackendCrashedError,
    BackendFailedError,
    BackendSilentError,
    RequestEndsBackendsError,
)

FAILING_STATUS = 500
"""A response with this status or above does not clear its request of suspicion: a back end that
is about to crash may have sent it."""


class CrashGuard:
    """Consults and updates the node's crash ledger for one request.

    Args:
        content: the request's content.
        reporter: the node's knowledge of crashes.
        detector: detects whether a back end has crashed.
    """

    __slots__ = ("_content", "_reporter", "_detector", "crash_count")

    def __init__(
        self, content: RequestContent, reporter: CrashReporter, detector: CrashDetector
    ) -> None:
        self._content = content
        self._reporter = reporter
        self._detector = detector
        self.crash_count = 0
        """Number of back ends known to have crashed while they ran the request."""

    async def refuse_if_quarantined(self, limit: int, now: float) -> None:
        """Refuse a request that no node may send to a back end.

        Raises:
            RequestEndsBackendsError: the request is quarantined.
        """
        if not len(self._reporter.ledger):
            return
        fingerprint = await self._fingerprint_if_suspect()
        if fingerprint is not None and self._reporter.ledger.is_quarantined(
            fingerprint, limit, now
        ):
            raise self._refusal(fingerprint)

    async def refuse_unless_admitted(self, limit: int, now: float) -> None:
        """Refuse a request that this node may not forward; a quarantined one may pass on trial.

        Raises:
            RequestEndsBackendsError: the request may not be forwarded.
        """
        if not len(self._reporter.ledger):
            return
        fingerprint = await self._fingerprint_if_suspect()
        if fingerprint is not None and not self._reporter.ledger.try_admit(fingerprint, limit, now):
            raise self._refusal(fingerprint)

    def note_answered(self, status: int) -> None:
        """Note that a back end answered the request; report it if others have crashed on it."""
        ledger = self._reporter.ledger
        if status >= FAILING_STATUS or not self._content.may_be_in(ledger):
            return
        fingerprint = self._content.fingerprint
        if fingerprint is not None and ledger.crash_count(fingerprint):
            self._reporter.report_suspect_answered(fingerprint)

    async def check_for_crash(
        self,
        request_id: str,
        backend: str,
        address: str,
        error: BackendFailedError | TruncatedAnswerError,
    ) -> None:
        """Find out whether an exchange broke because its back end, at ``address``, has crashed.

        Raises:
            BackendCrashedError: it has, and no part of a response was passed on.
        """
        if isinstance(error, BackendSilentError):
            return
        broken = BrokenExchange(request_id, self._content.fingerprint)
        crashed = await self._detector.has_crashed(backend, address, broken)
        if crashed and isinstance(error, BackendFailedError):
            raise BackendCrashedError("the back end has ended") from error

    async def _fingerprint_if_suspect(self) -> bytes | None:
        ledger = self._reporter.ledger
        fingerprint = await self._content.fingerprint_in(ledger)
        if fingerprint is not None:
            self.crash_count = max(self.crash_count, ledger.crash_count(fingerprint))
        return fingerprint

    def _refusal(self, fingerprint: bytes) -> RequestEndsBackendsError:
        work = f"they ran request {fingerprint.hex()}"
        return RequestEndsBackendsError(f"{self.crash_count} back ends ended while {work}")
