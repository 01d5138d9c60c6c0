"""The report of the processor time and memory that a node uses, and its table."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from enum import StrEnum
from statistics import median

import msgspec

from pewtertack.lab.report.table import format_table

BYTES_PER_MEGABYTE = 1_000_000
BYTES_PER_KILOBYTE = 1000


class MeasuredState(StrEnum):
    """What runs on the node during a measurement, and its load."""

    REPLICA_ONLY = "without proxy, at rest"
    IDLE = "whole node, at rest"
    LOADED = "whole node, under calls"


class Window(msgspec.Struct, frozen=True):
    """One measurement over ``seconds``, with the memory at its end in bytes."""

    state: MeasuredState
    seconds: float
    processor_share: float
    """Fraction of one core."""
    resident: int
    private: int
    calls: int
    """Callers' requests that the node responded to."""
    failed_calls: int


class Spread(msgspec.Struct, frozen=True):
    """Median, minimum and maximum of several measurements."""

    median: float
    least: float
    greatest: float


class StateCost(msgspec.Struct, frozen=True):
    """Cost of one state over all rounds: fraction of a core, and memory in bytes."""

    state: MeasuredState
    processor_share: Spread
    resident: Spread
    private: Spread


class Budget(msgspec.Struct, frozen=True):
    """Limits for a node: fraction of a core, resident bytes, control bytes sent per second."""

    processor_share: float = 0.047
    resident: int = 32 * BYTES_PER_MEGABYTE
    control: int = 6 * BYTES_PER_KILOBYTE


class NodeCostReport(msgspec.Struct, frozen=True):
    """The complete measurement. Differences between states are differences of medians."""

    seed: int
    deployment: str
    profile: str
    nodes: int
    rate: float
    """Calls per second that callers start at the loaded node."""
    windows: tuple[Window, ...]
    states: tuple[StateCost, ...]
    control_work: float
    """Fraction of a core that the complete node uses when idle."""
    request_work: float
    """Fraction of a core that the calls add."""
    processor_per_call: float
    """Processor time that one call adds, in milliseconds."""
    proxy_memory: float
    """Resident bytes that the proxy adds to an idle node."""
    control_bytes: float
    """Control bytes sent per node and second when idle, without IP headers."""
    budget: Budget = Budget()


def spread_of(values: Iterable[float]) -> Spread:
    """Return the spread of ``values``, which must not be empty."""
    sorted_values = sorted(values)
    return Spread(median(sorted_values), sorted_values[0], sorted_values[-1])


def state_cost(state: MeasuredState, windows: Sequence[Window]) -> StateCost:
    """Return the cost of ``state`` over its windows among ``windows``."""
    state_windows = [window for window in windows if window.state is state]
    return StateCost(
        state=state,
        processor_share=spread_of(window.processor_share for window in state_windows),
        resident=spread_of(window.resident for window in state_windows),
        private=spread_of(window.private for window in state_windows),
    )


def format_node_cost(report: NodeCostReport) -> str:
    """Return the report as text."""
    budget = report.budget
    rows = [
        (
            cost.state,
            _format_percent(cost.processor_share),
            _format_megabytes(cost.resident),
            _format_private_megabytes(cost),
        )
        for cost in report.states
    ]
    header = ("state", "% of a core", "resident MB", "private MB")
    budget_row = (
        "budget of control work",
        f"{budget.processor_share * 100:.1f}",
        f"{budget.resident / BYTES_PER_MEGABYTE:.0f}",
    )
    return "\n".join(
        [
            f"{report.deployment}, {report.profile}, {report.nodes} nodes,"
            f" {report.rate:g} calls/s at one node, seed {report.seed};"
            " median (minimum to maximum)",
            format_table(header, [*rows, (*budget_row, "")]),
            f"control work {report.control_work * 100:.2f}% of a core,"
            f" request work {report.request_work * 100:.2f}%"
            f" ({report.processor_per_call:.2f} ms per call),"
            f" proxy {report.proxy_memory / BYTES_PER_MEGABYTE:.1f} MB",
            f"control bytes sent per node and second {report.control_bytes:.0f},"
            f" budget {budget.control}",
        ]
    )


def _format_percent(spread: Spread) -> str:
    return _format_spread(spread, 100, 2)


def _format_megabytes(spread: Spread) -> str:
    return _format_spread(spread, 1 / BYTES_PER_MEGABYTE, 1)


def _format_private_megabytes(cost: StateCost) -> str:
    return _format_megabytes(cost.private)


def _format_spread(spread: Spread, factor: float, digits: int) -> str:
    values = (spread.median, spread.least, spread.greatest)
    median_text, minimum, maximum = (f"{value * factor:.{digits}f}" for value in values)
    return f"{median_text} ({minimum} to {maximum})"
