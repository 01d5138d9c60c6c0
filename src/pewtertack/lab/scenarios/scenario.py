"""The definition of a scenario."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from pewtertack.lab.fleet.plan import FleetShape
from pewtertack.lab.history.verdicts import Guarantee
from pewtertack.lab.scenarios.context import ScenarioContext

ScenarioBody = Callable[[ScenarioContext], Awaitable[None]]

CONFIGURATION_GUARANTEES = (
    Guarantee.REVISIONS_MONOTONIC,
    Guarantee.ROUTES_COMPLETE,
    Guarantee.REVISIONS_INTACT,
    Guarantee.IN_FORCE_EVERYWHERE,
    Guarantee.NEVER_REVERTED,
)
REQUEST_GUARANTEES = (Guarantee.RESPONSES_INTACT_AND_MATCHING, Guarantee.AT_MOST_ONCE)


def _keep_shape(shape: FleetShape) -> FleetShape:
    return shape


@dataclass(frozen=True, slots=True)
class Scenario:
    """A named scenario; ``rate`` is the number of callers' requests per second."""

    name: str
    description: str
    body: ScenarioBody
    required: tuple[Guarantee, ...]
    """The guarantees that a run of the scenario must test."""
    adjust: Callable[[FleetShape], FleetShape] = _keep_shape
    rate: float = 40.0
