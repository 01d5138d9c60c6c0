"""The resolved view of one revision for one zone: what a proxy serves by.

All values are immutable. A request keeps the view that it began with.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum

import msgspec

from pewtertack.core.revision import RevisionId


class WorkClass(StrEnum):
    """Classes of requests, the most pressing first."""

    URGENT = "urgent"
    INTERACTIVE = "interactive"
    BULK = "bulk"
    BACKGROUND = "background"


class ResolvedService(msgspec.Struct, frozen=True):
    """How back ends of one service are used. Durations are in seconds."""

    name: str
    slots_per_backend: int
    """Upper bound of the adaptive limit: concurrent requests of one proxy to one back end."""
    connections_per_backend: int
    connect_timeout: float
    slow_start: float
    """A back end seen for the first time takes its full share after this long."""
    ejection_failures: int
    """Consecutive failures after which a back end is ejected."""
    ejection_time: float
    health_path: str = "/"
    cold_start: float = 0.0
    """A back end that has just started bears only ``cold_rate`` for this long."""
    cold_rate: float = 0.0
    """Requests a second that a cold back end bears; 0 bounds nothing."""


DEFAULT_CRASH_LIMIT = 3
"""One end may be a coincidence, and two: a caller's attempt and its retry."""


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
    """Requests of this route which may wait for a back end on one node."""
    header_secrets: Mapping[str, str]
    """Header added to the request towards the back end -> name of a secret."""
    split: Mapping[str, int] = msgspec.field(default_factory=dict)
    """Service -> weight of its share of the requests; empty sends all to ``service``."""
    priority: int = 0
    """Rank in a gateway's queue; 0 goes first."""
    crash_limit: int = DEFAULT_CRASH_LIMIT
    """Back ends that may end under one request before it is refused; 0 refuses none."""
    target_latency: float = 0.0
    """Time within which an answer is wanted; 0 stands for half of ``timeout``."""

    @property
    def objective(self) -> float:
        """Seconds within which an answer is wanted."""
        return self.target_latency or self.timeout / 2


class ResolvedConfiguration(msgspec.Struct, frozen=True):
    """All that a proxy in ``zone`` needs from one revision.

    Every route's service is in ``services`` and every secret that a route names
    is in ``secrets``: validation rejects the whole revision otherwise.
    """

    revision: RevisionId
    zone: str
    routes: tuple[ResolvedRoute, ...]
    services: Mapping[str, ResolvedService]
    secrets: Mapping[str, str]
    evacuated: frozenset[str] = frozenset()
    """Zones, in this or another region, whose back ends are to be sent nothing."""
    head_bytes: int = 0
    """Longest head of a caller's request; nodes take more where they always do."""
