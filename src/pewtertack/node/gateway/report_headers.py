"""What a gateway tells the sender of a request with its answer or refusal, as headers."""

from __future__ import annotations

from pewtertack.node.gateway import hop
from pewtertack.node.gateway.hop import HopRequest
from pewtertack.node.http.framing import RawHeaders
from pewtertack.node.pacing import LinkPacer
from pewtertack.node.proxy.headers import BACKEND_LOAD
from pewtertack.routing.admission import Admission
from pewtertack.routing.origins import OriginWatch


def load_headers(admission: Admission, now: float) -> RawHeaders:
    """Return the header that tells the back end's load, waiting requests included."""
    return [(BACKEND_LOAD, f"{admission.load}/{admission.told_slots(now)}".encode())]


def link_headers(pacer: LinkPacer, route: str) -> RawHeaders:
    """Return the header that tells how long the link's line is, where it is to be told."""
    told = pacer.link_report(route)
    return [(hop.LINK, told.encode())] if told is not None else []


def origin_headers(origins: OriginWatch | None, request: HopRequest) -> RawHeaders:
    """Return the header that tells who calls the request's route, where the sender needs it."""
    told = origins.to_tell(request.route, request.within) if origins is not None else None
    return [(hop.ORIGIN, told.encode())] if told is not None else []
