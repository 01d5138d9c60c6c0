"""Options of a convergence run, checked before anything is started."""

from __future__ import annotations

import math
from collections.abc import Sequence

import msgspec

from pewtertack.lab.disabled_mechanisms import check_mechanism
from pewtertack.lab.errors import ConvergenceOptionError
from pewtertack.lab.metadata_store.application import StoreFaults
from pewtertack.lab.store_fleet.fleet import BYTES_PER_MEGABIT
from pewtertack.lab.store_fleet.simulated import MAX_NODES_WITH_FRAMES

MAX_PROCESSES = 24
"""Maximum number of nodes that run as one process each."""
MAX_SIMULATED_NODES = 4000
MIN_NODES = 3
"""One node in each of the three zones."""
MAX_ROUTES = 4000
MAX_ANSWER_SECONDS = 60.0
MIN_LINK_MBPS = 0.1
MAX_LINK_MBPS = 10_000.0
DEFAULT_SLOW_BEFORE_SECONDS = 12.0
MAX_SLOW_BEFORE_SECONDS = 600.0


class GridPoint(msgspec.Struct, frozen=True):
    """One point of the measured grid: the size of fleet and edit, and the conditions."""

    nodes: int
    routes: int
    """Number of routes that the edit adds."""
    answer_seconds: float
    """Delay of each response of the source."""
    link_mbps: float = 0.0
    """Rate of each machine's link per direction; 0 for no limit."""
    slow_before: float = DEFAULT_SLOW_BEFORE_SECONDS
    """Seconds for which the source is slow before the edit."""

    @property
    def link_bytes_per_second(self) -> float:
        """Rate of the links in bytes per second; 0 for no limit."""
        return self.link_mbps * BYTES_PER_MEGABIT

    @property
    def faults(self) -> StoreFaults:
        """Faults that make the source slow; its response bodies are sent at the link's rate."""
        return StoreFaults(delay=self.answer_seconds, body_rate=self.link_bytes_per_second)


class ConvergenceOptions:
    """The options of one run.

    Args:
        nodes: numbers of nodes.
        routes: numbers of routes that an edit adds.
        answers: seconds that a response of the source takes.
        links: rates of the machines' links in Mbit/s; 0 for no limit.
        slow_before: seconds for which the source is slow before the edit. The default is longer
            than a long poll, so that no reader waits in a poll that began before the source was
            slow.
        seed: seed of the nodes' random choices in virtual time.
        virtual: whether to simulate the nodes instead of starting a process for each.
        without: mechanism that is disabled in all nodes.

    Raises:
        ConvergenceOptionError: an option is invalid.
        LabUsageError: there is no mechanism ``without``.
    """

    __slots__ = ("points", "seed", "virtual", "without")

    def __init__(
        self,
        nodes: Sequence[int],
        routes: Sequence[int],
        answers: Sequence[float],
        links: Sequence[float] = (0.0,),
        slow_before: float = DEFAULT_SLOW_BEFORE_SECONDS,
        seed: int = 1,
        virtual: bool = False,
        without: str = "",
    ) -> None:
        self.seed = seed
        self.virtual = virtual
        self.without = without
        self._check_nodes(nodes)
        _check_range("--routes", routes, 1, MAX_ROUTES)
        _check_range("--answer", answers, 0.0, MAX_ANSWER_SECONDS)
        self._check_links(nodes, links)
        _check_range("--slow-before", [slow_before], 0.0, MAX_SLOW_BEFORE_SECONDS)
        if seed < 0:
            raise ConvergenceOptionError(f"--seed {seed} is out of range; accepted: 0 or more")
        if without:
            check_mechanism(without)
        self.points = tuple(
            GridPoint(node_count, route_count, seconds, link, slow_before)
            for node_count in nodes
            for link in links
            for route_count in routes
            for seconds in answers
        )
        if not self.points:
            raise ConvergenceOptionError("nothing to measure; give each option at least one value")

    def _check_nodes(self, nodes: Sequence[int]) -> None:
        maximum = MAX_SIMULATED_NODES if self.virtual else MAX_PROCESSES
        _check_range("--nodes", nodes, MIN_NODES, maximum)

    def _check_links(self, nodes: Sequence[int], links: Sequence[float]) -> None:
        limited_links = [link for link in links if link != 0]
        _check_range("--link", limited_links, MIN_LINK_MBPS, MAX_LINK_MBPS)
        if limited_links and max(nodes, default=0) > MAX_NODES_WITH_FRAMES:
            accepted = f"0 with more than {MAX_NODES_WITH_FRAMES} nodes"
            raise ConvergenceOptionError(
                f"--link {limited_links[0]:g} is out of range; accepted: {accepted}"
            )


def _check_range(name: str, values: Sequence[float], minimum: float, maximum: float) -> None:
    for value in values:
        if not math.isfinite(value) or not minimum <= value <= maximum:
            raise ConvergenceOptionError(
                f"{name} {value:g} is out of range; accepted: {minimum:g} to {maximum:g}"
            )
