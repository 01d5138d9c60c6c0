"""The objects that all requests of a gateway share."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from pewtertack.node.crash_reporter import CrashReporter
from pewtertack.node.crash_watch import CrashDetector
from pewtertack.node.gateway.metrics import GatewayMetrics
from pewtertack.node.gateway.reception import BodyReception
from pewtertack.node.gateway.sending import BufferedBytes
from pewtertack.node.pacing import LinkPacer
from pewtertack.node.proxy.body import BufferedBodies
from pewtertack.node.proxy.edge import EdgeHeaders
from pewtertack.node.proxy.in_flight import RequestsInFlight
from pewtertack.node.proxy.request_log import GatewayLog
from pewtertack.node.proxy.upstream import ConnectionPool
from pewtertack.routing.executions import LocalExecutions, never_without_result
from pewtertack.routing.origins import OriginDetector


class GatewayContext(msgspec.Struct, frozen=True):
    """The objects that all requests of a gateway share."""

    clock: Callable[[], float]
    connections: ConnectionPool
    edge: EdgeHeaders
    address: str
    log: GatewayLog
    metrics: GatewayMetrics
    crashes: CrashDetector
    reporter: CrashReporter
    origins: OriginDetector | None = None
    """Who calls each route; ``None`` if nested calls are treated like all others."""
    executions: LocalExecutions = msgspec.field(default_factory=LocalExecutions)
    should_defer: Callable[[str, float], bool] = never_without_result
    """Tells by route and time whether requests should be deferred: their executions often fail
    because nested calls that they make are refused."""
    requests: RequestsInFlight = msgspec.field(default_factory=RequestsInFlight)
    reception: BodyReception = msgspec.field(default_factory=BodyReception)
    pacer: LinkPacer | None = None
    """``None`` if long responses are sent without pacing."""
    response_buffer: BufferedBytes = msgspec.field(default_factory=BufferedBytes)
    bodies: BufferedBodies = msgspec.field(default_factory=BufferedBodies)
