"""Reads from responses which limit of requests a second a back end names."""

from __future__ import annotations

from pewtertack.node.proxy.exchange import MISDIRECTED_STATUS
from pewtertack.node.proxy.headers import ResponseMeta
from pewtertack.routing.dispatcher import Dispatcher
from pewtertack.routing.queueing import Ticket
from pewtertack.routing.rate_reports import (
    InvalidRateError,
    parse_rate,
    parse_rate_report,
)


def note_rate(dispatcher: Dispatcher, ticket: Ticket, response: ResponseMeta, now: float) -> None:
    """Record the limit that the ticket's back end, or its gateway, names in a response.

    A failure of a gateway's own names none if the gateway has just started, and a response with
    status 421 is one of another back end: neither ends a limit. A gateway of an older version
    passes the back end's header on and does not keep the limit.

    Raises:
        InvalidRateError: what it names is malformed; the known limit is left as it was.
    """
    backend = ticket.backend
    assert backend is not None
    if response.rate is not None:
        report = parse_rate_report(response.rate)
        if report is None:
            raise InvalidRateError(f"the gateway's report {response.rate[:40]!r} is malformed")
        dispatcher.note_rate(ticket, report, now)
    elif response.failure is None and response.status != MISDIRECTED_STATUS:
        rate = parse_rate(response.rate_limits)
        if rate is None:
            dispatcher.note_rate(ticket, None, now)
        else:
            dispatcher.note_rate_unkept(ticket, rate, now)
