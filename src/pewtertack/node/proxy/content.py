"""The fingerprint of an active request, computed only on demand."""

from __future__ import annotations

from pewtertack.core.crashes.fingerprint import BODY_PREFIX_BYTES, fingerprint_of, head_digest
from pewtertack.core.crashes.ledger import CrashLedger
from pewtertack.node.http.cycle import Scope
from pewtertack.node.http.framing import RawHeaders
from pewtertack.node.proxy.body import RequestBody


class RequestContent:
    """The content of a request, which is the same for each attempt.

    Args:
        scope: ASGI scope of the request.
        headers: the forwarded headers; every node on the path forwards the same ones.
        body: the request's body.
    """

    __slots__ = ("_body", "_head", "_headers", "_scope")

    def __init__(self, scope: Scope, headers: RawHeaders, body: RequestBody) -> None:
        self._scope = scope
        self._headers = headers
        self._body = body
        self._head: bytes | None = None

    @property
    def fingerprint(self) -> bytes | None:
        """The fingerprint, ``None`` until enough of the body has been received."""
        beginning = self._body.beginning
        return fingerprint_of(self._digest_head(), beginning) if beginning is not None else None

    async def fingerprint_in(self, ledger: CrashLedger) -> bytes | None:
        """Return the fingerprint if the request may be a suspect, otherwise ``None``.

        Raises:
            CallerGoneError: the caller has gone.
            SlowRequestError: the body, which the fingerprint needs, was not received in time.
        """
        if not self.may_be_in(ledger):
            return None
        await self._body.read_ahead(BODY_PREFIX_BYTES)
        return self.fingerprint

    def may_be_in(self, ledger: CrashLedger) -> bool:
        """Tell whether a suspect has this request's head; computes nothing without suspects."""
        return len(ledger) > 0 and ledger.may_be_suspect(self._digest_head())

    def _digest_head(self) -> bytes:
        if self._head is None:
            target = self._scope["raw_path"] + b"?" + self._scope["query_string"]
            self._head = head_digest(self._scope["method"], target, self._headers)
        return self._head
