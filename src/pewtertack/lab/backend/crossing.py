"""Swaps the responses of two requests, to simulate a back end that mixes up its callers."""

from __future__ import annotations

import anyio

from pewtertack.lab.asgi import Response

PARTNER_WAIT_SECONDS = 0.05


class ResponseSwapper:
    """Pairs concurrent requests and returns to each the response of the other.

    A request that finds no partner within ``PARTNER_WAIT_SECONDS`` keeps its own response.
    """

    def __init__(self) -> None:
        self._pending_offer: _SwapOffer | None = None

    async def swap(self, own: Response) -> Response:
        """Return the response of another request, or ``own`` if there is none in time."""
        partner = self._pending_offer
        if partner is not None:
            self._pending_offer = None
            partner.replacement = own
            partner.swapped.set()
            return partner.response
        offer = _SwapOffer(own)
        self._pending_offer = offer
        with anyio.move_on_after(PARTNER_WAIT_SECONDS):
            await offer.swapped.wait()
        if self._pending_offer is offer:
            self._pending_offer = None
        return offer.replacement or own


class _SwapOffer:
    """A response that waits to be swapped."""

    def __init__(self, response: Response) -> None:
        self.response = response
        self.swapped = anyio.Event()
        self.replacement: Response | None = None
