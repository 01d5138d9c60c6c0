"""Report headers that a gateway adds to its responses and refusals for the sending node."""

from __future__ import annotations

from pewtertack.node.gateway import hop
from pewtertack.node.gateway.hop import HopRequest
from pewtertack.node.http.framing import RawHeaders
from pewtertack.node.pacing import LinkPacer
from pewtertack.node.proxy.headers import BACKEND_LOAD, BACKEND_STATE, LEAVING_STATE
from pewtertack.routing.admission import Admission
from pewtertack.routing.origins import OriginDetector


def load_headers(admission: Admission, now: float) -> RawHeaders:
    """Return the header with the back end's load, which includes waiting requests."""
    return [(BACKEND_LOAD, f"{admission.load}/{admission.advertised_slots(now)}".encode())]


LEAVING_HEADERS: RawHeaders = [(BACKEND_STATE, LEAVING_STATE)]
"""Reports that the back end has said in a response that it leaves."""


def rate_headers(admission: Admission, now: float) -> RawHeaders:
    """Return the header with the limit that the back end names, if any."""
    rate = admission.rate_limit.rate
    if rate is None:
        return []
    from pewtertack.routing.rate_reports import RateReport, format_rate_report

    wait = admission.rate_limit_wait(admission.load - admission.in_flight, now)
    return [(hop.RATE, format_rate_report(RateReport(rate, wait)).encode())]


def link_headers(pacer: LinkPacer, route: str) -> RawHeaders:
    """Return the header with the times of the link queue and of the route's responses, if any."""
    value = pacer.link_report(route)
    return [(hop.LINK, value.encode())] if value is not None else []


def origin_headers(origins: OriginDetector | None, request: HopRequest) -> RawHeaders:
    """Return the header that names who calls the request's route, if the sender needs it."""
    value = origins.to_advertise(request.route, request.nested) if origins is not None else None
    return [(hop.ORIGIN, value.encode())] if value is not None else []
