"""Exchange of two answers, for a back end that mixes up its callers."""

from __future__ import annotations

import anyio

from pewtertack.lab.asgi import Response

PARTNER_WAIT = 0.05


class ResponseSwapper:
    """Pairs requests up and gives each the other's answer.

    A request that finds no partner within ``PARTNER_WAIT`` seconds gets its own.
    """

    def __init__(self) -> None:
        self._waiting: _Offer | None = None

    async def exchange(self, own: Response) -> Response:
        """Return a partner's answer in place of ``own``."""
        partner = self._waiting
        if partner is not None:
            self._waiting = None
            partner.taken_for = own
            partner.taken.set()
            return partner.answer
        offer = _Offer(own)
        self._waiting = offer
        with anyio.move_on_after(PARTNER_WAIT):
            await offer.taken.wait()
        if self._waiting is offer:
            self._waiting = None
        return offer.taken_for or own


class _Offer:
    """An answer that waits to be exchanged."""

    def __init__(self, answer: Response) -> None:
        self.answer = answer
        self.taken = anyio.Event()
        self.taken_for: Response | None = None
