"""The resolved configuration of one zone: one revision with all inherited values filled in.

All values are immutable. A request uses the same configuration from its start to its end.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum

import msgspec

from pewtertack.core.revision import RevisionId


class WorkClass(StrEnum):
    """Classes of requests, the most urgent first."""

    URGENT = "urgent"
    INTERACTIVE = "interactive"
    BULK = "bulk"
    BACKGROUND = "background"


class ResolvedService(msgspec.Struct, frozen=True):
    """Settings of one service and its back ends. Durations are in seconds."""

    name: str
    slots_per_backend: int
    """Upper bound of the adaptive limit: concurrent requests of one proxy to one back end."""
    connections_per_backend: int
    connect_timeout: float
    slow_start: float
    """Time after which a back end seen for the first time gets its full share of requests."""
    ejection_failures: int
    """Consecutive failures after which a back end is ejected."""
    ejection_time: float
    health_path: str = "/"
    cold_start: float = 0.0
    """Time for which a back end that has just started is limited to ``cold_rate``."""
    cold_rate: float = 0.0
    """Requests per second that a cold back end can serve; 0 means no limit."""


DEFAULT_CRASH_LIMIT = 3
"""One crash may be a coincidence, and two crashes may be a caller's attempt and its retry."""


class ResolvedRoute(msgspec.Struct, frozen=True):
    """One route with every inherited value filled in. Durations are in seconds."""

    name: str
    service: str
    hosts: tuple[str, ...]
    """Host names without port, in lower case; empty matches every host."""
    path_prefix: str
    methods: tuple[str, ...]
    """Method names in upper case; empty matches every method."""
    work_class: WorkClass
    timeout: float
    """Whole-request deadline when the caller sends none, and its upper bound."""
    repeatable: bool
    """Whether an attempt of unknown outcome may be repeated."""
    retry_limit: int
    retry_budget: float
    """Retries allowed as a share of first attempts, for example 0.1."""
    queue_limit: int
    """Requests of this route that may wait for a back end on one node."""
    header_secrets: Mapping[str, str]
    """Header added to the request towards the back end -> name of a secret."""
    split: Mapping[str, int] = msgspec.field(default_factory=dict)
    """Service -> weight of its share of the requests; empty sends all to ``service``."""
    priority: int = 0
    """Rank in a gateway's queue; 0 goes first."""
    crash_limit: int = DEFAULT_CRASH_LIMIT
    """Back ends that may crash while executing the same request before it is refused.

    0 means no limit.
    """
    target_latency: float = 0.0
    """Response time that is aimed for; 0 means half of ``timeout``."""

    @property
    def objective(self) -> float:
        """The latency objective: response time that is aimed for, in seconds."""
        return self.target_latency or self.timeout / 2


class ResolvedConfiguration(msgspec.Struct, frozen=True):
    """Everything that a proxy in ``zone`` needs from one revision.

    Every route's service is in ``services`` and every secret that a route names is in
    ``secrets``, since validation rejects any other revision.
    """

    revision: RevisionId
    zone: str
    routes: tuple[ResolvedRoute, ...]
    services: Mapping[str, ResolvedService]
    secrets: Mapping[str, str]
    evacuated: frozenset[str] = frozenset()
    """Zones, in this or another region, whose back ends must not receive requests."""
    head_bytes: int = 0
    """Maximum size of the head of a caller's request.

    Nodes accept heads of ``GUARANTEED_HEAD_BYTES`` even if this is smaller.
    """
