"""What a convergence run is asked to do, checked before anything is started."""

from __future__ import annotations

import math
from collections.abc import Sequence

import msgspec

from pewtertack.lab.disabled_mechanisms import check_mechanism
from pewtertack.lab.errors import ConvergenceOptionError
from pewtertack.lab.metadata_store.application import StoreFaults
from pewtertack.lab.store_fleet.fleet import BYTES_PER_MEGABIT
from pewtertack.lab.store_fleet.simulated import MAX_NODES_WITH_FRAMES

MOST_PROCESSES = 24
"""Nodes in a process each."""
MOST_SIMULATED = 4000
FEWEST_NODES = 3
"""One in each zone."""
MOST_ROUTES = 4000
MOST_ANSWER_SECONDS = 60.0
SLOWEST_LINK_MBPS = 0.1
FASTEST_LINK_MBPS = 10_000.0
DEFAULT_SLOW_BEFORE = 12.0
LONGEST_SLOW_BEFORE = 600.0
"""Seconds."""


class Point(msgspec.Struct, frozen=True):
    """One measurement: an edit in a fleet of this size, under these conditions."""

    nodes: int
    routes: int
    """Routes that the edit adds."""
    answer_seconds: float
    """What each answer of the source takes."""
    link_mbps: float = 0.0
    """Of each node's machine, each way; 0 for no bound."""
    slow_before: float = DEFAULT_SLOW_BEFORE
    """For how many seconds the source is slow before the edit."""

    @property
    def link_rate(self) -> float:
        """The rate of the links in bytes a second; 0 for no bound."""
        return self.link_mbps * BYTES_PER_MEGABIT

    @property
    def faults(self) -> StoreFaults:
        """How slow the source is; bodies take their time on the link too."""
        return StoreFaults(delay=self.answer_seconds, body_rate=self.link_rate)


class ConvergenceOptions:
    """The options of one run.

    Args:
        nodes: sizes of fleets.
        routes: numbers of routes that an edit adds.
        answers: seconds that an answer of the source takes.
        links: Mbit/s of the machines' links; 0 for no bound.
        slow_before: seconds that the source is slow before the edit. By default longer than a
            long poll lasts, so that no reader waits by a poll from before.
        seed: decides the nodes' choices in virtual time.
        virtual: simulate the nodes in place of a process for each.
        without: a mechanism that is switched off in all nodes.

    Raises:
        ConvergenceOptionError: an option makes no sense.
        LabUsageError: there is no such mechanism.
    """

    __slots__ = ("points", "seed", "virtual", "without")

    def __init__(
        self,
        nodes: Sequence[int],
        routes: Sequence[int],
        answers: Sequence[float],
        links: Sequence[float] = (0.0,),
        slow_before: float = DEFAULT_SLOW_BEFORE,
        seed: int = 1,
        virtual: bool = False,
        without: str = "",
    ) -> None:
        self.seed = seed
        self.virtual = virtual
        self.without = without
        self._check_nodes(nodes)
        _check_each("--routes", routes, 1, MOST_ROUTES)
        _check_each("--answer", answers, 0.0, MOST_ANSWER_SECONDS)
        self._check_links(nodes, links)
        _check_each("--slow-before", [slow_before], 0.0, LONGEST_SLOW_BEFORE)
        if seed < 0:
            raise ConvergenceOptionError(f"--seed {seed}: 0 or more")
        if without:
            check_mechanism(without)
        self.points = tuple(
            Point(size, added, seconds, link, slow_before)
            for size in nodes
            for link in links
            for added in routes
            for seconds in answers
        )
        if not self.points:
            raise ConvergenceOptionError("no point to measure: give each option a value")

    def _check_nodes(self, nodes: Sequence[int]) -> None:
        most = MOST_SIMULATED if self.virtual else MOST_PROCESSES
        _check_each("--nodes", nodes, FEWEST_NODES, most)

    def _check_links(self, nodes: Sequence[int], links: Sequence[float]) -> None:
        bounded = [link for link in links if link != 0]
        _check_each("--link", bounded, SLOWEST_LINK_MBPS, FASTEST_LINK_MBPS)
        if bounded and max(nodes, default=0) > MAX_NODES_WITH_FRAMES:
            accepted = f"0 with more than {MAX_NODES_WITH_FRAMES} nodes"
            raise ConvergenceOptionError(f"--link {bounded[0]:g}: {accepted}")


def _check_each(name: str, values: Sequence[float], least: float, most: float) -> None:
    for value in values:
        if not math.isfinite(value) or not least <= value <= most:
            raise ConvergenceOptionError(f"{name} {value:g}: from {least:g} to {most:g}")
