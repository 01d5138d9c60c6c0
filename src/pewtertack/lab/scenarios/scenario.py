"""The definition of a scenario."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from pewtertack.lab.fleet.plan import FleetShape
from pewtertack.lab.history.verdicts import Promise
from pewtertack.lab.scenarios.context import ScenarioContext

Body = Callable[[ScenarioContext], Awaitable[None]]

CONFIGURATION_PROMISES = (
    Promise.NEVER_BACK,
    Promise.ROUTES_COMPLETE,
    Promise.REVISIONS_WHOLE,
    Promise.IN_FORCE_EVERYWHERE,
    Promise.NEVER_REVERTED,
)
REQUEST_PROMISES = (Promise.ANSWERS_WHOLE_AND_OWN, Promise.AT_MOST_ONCE)


def _as_it_is(shape: FleetShape) -> FleetShape:
    return shape


@dataclass(frozen=True, slots=True)
class Scenario:
    """One scenario. ``rate`` is the callers' requests per second."""

    name: str
    description: str
    body: Body
    required: tuple[Promise, ...]
    """Promises that must have been put to the test."""
    adjust: Callable[[FleetShape], FleetShape] = _as_it_is
    rate: float = 40.0
