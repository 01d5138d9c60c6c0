"""The definition of a scenario."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from pewtertack.lab.fleet.plan import FleetShape
from pewtertack.lab.history.verdicts import Guarantee
from pewtertack.lab.scenarios.context import ScenarioContext

Body = Callable[[ScenarioContext], Awaitable[None]]

CONFIGURATION_GUARANTEES = (
    Guarantee.REVISIONS_MONOTONIC,
    Guarantee.ROUTES_COMPLETE,
    Guarantee.REVISIONS_INTACT,
    Guarantee.IN_FORCE_EVERYWHERE,
    Guarantee.NEVER_REVERTED,
)
REQUEST_GUARANTEES = (Guarantee.RESPONSES_INTACT_AND_MATCHING, Guarantee.AT_MOST_ONCE)


def _as_it_is(shape: FleetShape) -> FleetShape:
    return shape


@dataclass(frozen=True, slots=True)
class Scenario:
    """One scenario. ``rate`` is the callers' requests per second."""

    name: str
    description: str
    body: Body
    required: tuple[Guarantee, ...]
    """Promises that must have been put to the test."""
    adjust: Callable[[FleetShape], FleetShape] = _as_it_is
    rate: float = 40.0
