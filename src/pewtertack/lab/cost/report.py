"""The report of a node's cost, and its table."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from enum import StrEnum
from statistics import median

import msgspec

from pewtertack.lab.report.table import format_table

MEGABYTE = 1_000_000
KILOBYTE = 1000


class State(StrEnum):
    """What a node does while it is measured."""

    REPLICA = "without proxy, at rest"
    REST = "whole node, at rest"
    LOADED = "whole node, under calls"


class Window(msgspec.Struct, frozen=True):
    """One measurement over ``seconds``; memory in bytes at its end."""

    state: State
    seconds: float
    processor_share: float
    """Of one core."""
    resident: int
    private: int
    calls: int
    """Callers' requests answered by the node."""
    failed_calls: int


class Spread(msgspec.Struct, frozen=True):
    """Median, least and greatest of several measurements."""

    median: float
    least: float
    greatest: float


class StateCost(msgspec.Struct, frozen=True):
    """One state over all rounds; processor in shares of a core, memory in bytes."""

    state: State
    processor_share: Spread
    resident: Spread
    private: Spread


class Budget(msgspec.Struct, frozen=True):
    """What a node may cost: a share of a core, bytes, bytes sent per second."""

    processor_share: float = 0.047
    resident: int = 32 * MEGABYTE
    control: int = 6 * KILOBYTE


class NodeCostReport(msgspec.Struct, frozen=True):
    """The whole measurement. Differences are of medians."""

    seed: int
    deployment: str
    profile: str
    nodes: int
    rate: float
    """Calls per second begun at the node under calls."""
    windows: tuple[Window, ...]
    states: tuple[StateCost, ...]
    control_work: float
    """Share of a core of the whole node at rest."""
    request_work: float
    """Share of a core that the calls add."""
    processor_per_call: float
    """Milliseconds of processor time that one call adds."""
    proxy_memory: float
    """Resident bytes that the proxy part adds at rest."""
    control_bytes: float
    """Control bytes sent per node and second at rest, without IP headers."""
    budget: Budget = Budget()


def spread_of(values: Iterable[float]) -> Spread:
    """Return the spread of at least one value."""
    ordered = sorted(values)
    return Spread(median(ordered), ordered[0], ordered[-1])


def cost_of(state: State, windows: Sequence[Window]) -> StateCost:
    """Return one state's cost over its windows."""
    chosen = [window for window in windows if window.state is state]
    return StateCost(
        state=state,
        processor_share=spread_of(window.processor_share for window in chosen),
        resident=spread_of(window.resident for window in chosen),
        private=spread_of(window.private for window in chosen),
    )


def format_node_cost(report: NodeCostReport) -> str:
    """Return the report as text."""
    budget = report.budget
    rows = [
        (cost.state, _percent(cost.processor_share), _megabytes(cost.resident), _private(cost))
        for cost in report.states
    ]
    header = ("state", "% of a core", "resident MB", "private MB")
    limits = (
        "budget of control work",
        f"{budget.processor_share * 100:.1f}",
        f"{budget.resident / MEGABYTE:.0f}",
    )
    return "\n".join(
        [
            f"{report.deployment}, {report.profile}, {report.nodes} nodes,"
            f" {report.rate:g} calls/s at one node, seed {report.seed};"
            " median (least to greatest)",
            format_table(header, [*rows, (*limits, "")]),
            f"control work {report.control_work * 100:.2f}% of a core,"
            f" request work {report.request_work * 100:.2f}%"
            f" ({report.processor_per_call:.2f} ms a call),"
            f" proxy part {report.proxy_memory / MEGABYTE:.1f} MB",
            f"control bytes sent per node and second {report.control_bytes:.0f},"
            f" budget {budget.control}",
        ]
    )


def _percent(spread: Spread) -> str:
    return _format_spread(spread, 100, 2)


def _megabytes(spread: Spread) -> str:
    return _format_spread(spread, 1 / MEGABYTE, 1)


def _private(cost: StateCost) -> str:
    return _megabytes(cost.private)


def _format_spread(spread: Spread, factor: float, digits: int) -> str:
    values = (spread.median, spread.least, spread.greatest)
    middle, least, greatest = (f"{value * factor:.{digits}f}" for value in values)
    return f"{middle} ({least} to {greatest})"
