"""The fingerprint of one request under way, worked out only when something asks for it."""

from __future__ import annotations

from pewtertack.core.crashes.fingerprint import BODY_PREFIX_BYTES, fingerprint_of, head_digest
from pewtertack.core.crashes.ledger import CrashLedger
from pewtertack.node.http.cycle import Scope
from pewtertack.node.http.framing import RawHeaders
from pewtertack.node.proxy.body import RequestBody


class RequestContent:
    """What a request is, whichever attempt it comes by.

    Args:
        scope: of the request (ASGI).
        headers: those that are passed on; nodes on its way pass on the same.
        body: of the request.
    """

    __slots__ = ("_body", "_head", "_headers", "_scope")

    def __init__(self, scope: Scope, headers: RawHeaders, body: RequestBody) -> None:
        self._scope = scope
        self._headers = headers
        self._body = body
        self._head: bytes | None = None

    @property
    def fingerprint(self) -> bytes | None:
        """The fingerprint, ``None`` while too little of the body has come."""
        beginning = self._body.beginning
        return fingerprint_of(self._digest_head(), beginning) if beginning is not None else None

    async def fingerprint_in(self, ledger: CrashLedger) -> bytes | None:
        """Return the fingerprint if the request may be a suspect, ``None`` if it is none.

        Raises:
            CallerGoneError: the caller has gone.
            SlowRequestError: the body, which tells suspects apart, did not come.
        """
        if not self.may_be_in(ledger):
            return None
        await self._body.read_ahead(BODY_PREFIX_BYTES)
        return self.fingerprint

    def may_be_in(self, ledger: CrashLedger) -> bool:
        """Tell whether a suspect has this request's head; costs nothing while there is none."""
        return len(ledger) > 0 and ledger.may_be_suspect(self._digest_head())

    def _digest_head(self) -> bytes:
        if self._head is None:
            target = self._scope["raw_path"] + b"?" + self._scope["query_string"]
            self._head = head_digest(self._scope["method"], target, self._headers)
        return self._head
