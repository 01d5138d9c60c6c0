"""What proxy and gateway do about one request under which back ends may end."""

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
"""From this status on an answer tells nothing in favour of its request: a back end that is
about to end may have given it."""


class CrashGuard:
    """The node's knowledge of ends, asked and added to for one request.

    Args:
        content: of the request.
        reporter: what the node knows.
        watch: tells whether a back end has ended.
    """

    __slots__ = ("_content", "_reporter", "_watch", "crash_count")

    def __init__(
        self, content: RequestContent, reporter: CrashReporter, watch: CrashDetector
    ) -> None:
        self._content = content
        self._reporter = reporter
        self._watch = watch
        self.crash_count = 0
        """Back ends known to have ended under the request, at its own attempts too."""

    async def refuse_if_held(self, limit: int, now: float) -> None:
        """Refuse what no node may send to a back end.

        Raises:
            RequestEndsBackendsError: it is held.
        """
        if not len(self._reporter.ledger):
            return
        fingerprint = await self._fingerprint_if_suspect()
        if fingerprint is not None and self._reporter.ledger.is_quarantined(
            fingerprint, limit, now
        ):
            raise self._refusal(fingerprint)

    async def refuse_unless_admitted(self, limit: int, now: float) -> None:
        """Refuse what this node may not send on, which is the trial of a held request too.

        Raises:
            RequestEndsBackendsError: it may not.
        """
        if not len(self._reporter.ledger):
            return
        fingerprint = await self._fingerprint_if_suspect()
        if fingerprint is not None and not self._reporter.ledger.try_admit(fingerprint, limit, now):
            raise self._refusal(fingerprint)

    def note_answered(self, status: int) -> None:
        """A back end has answered the request; tell so if others ended under it."""
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
        """Find out whether an exchange broke since its back end, at ``address``, has ended.

        Raises:
            BackendCrashedError: it has, and nothing of an answer was passed on.
        """
        if isinstance(error, BackendSilentError):
            return
        broken = BrokenExchange(request_id, self._content.fingerprint)
        ended = await self._watch.has_crashed(backend, address, broken)
        if ended and isinstance(error, BackendFailedError):
            raise BackendCrashedError("the back end has ended") from error

    async def _fingerprint_if_suspect(self) -> bytes | None:
        ledger = self._reporter.ledger
        fingerprint = await self._content.fingerprint_in(ledger)
        if fingerprint is not None:
            self.crash_count = max(self.crash_count, ledger.crash_count(fingerprint))
        return fingerprint

    def _refusal(self, fingerprint: bytes) -> RequestEndsBackendsError:
        ran = f"they ran request {fingerprint.hex()}"
        return RequestEndsBackendsError(f"{self.crash_count} back ends ended while {ran}")
