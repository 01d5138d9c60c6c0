"""A gateway's refusals of input that is not a valid request.

They carry ``hop.FAILURE``, by which the sender distinguishes them from responses of the back end:
a response without it that names no request may belong to another one, and counts against the back
end.
"""

from __future__ import annotations

from pewtertack.node.gateway.hop import failure_header
from pewtertack.node.http.refusals import RefusalReason
from pewtertack.node.proxy.refusals import refusal_error, write_refusal


def gateway_refusal(reason: RefusalReason, started: bool) -> bytes:
    """Return the response that ends a sender's connection (``RefusalWriter``)."""
    error = refusal_error(reason, started)
    error.reached_backend = started
    return write_refusal(error, [failure_header(error)])
