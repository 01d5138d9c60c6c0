"""All scenarios by name."""

from __future__ import annotations

from dataclasses import replace

from pewtertack.lab.backend.state import Capacity
from pewtertack.lab.errors import UnknownScenarioError
from pewtertack.lab.fleet.plan import FleetShape
from pewtertack.lab.history.verdicts import Guarantee
from pewtertack.lab.scenarios import configuration, requests, storm
from pewtertack.lab.scenarios.scenario import (
    CONFIGURATION_GUARANTEES,
    REQUEST_GUARANTEES,
    Body,
    Scenario,
)

REQUEST_RATE = 80.0
COLD_SECONDS = 2.0
CROWDED_READERS = 3


def _separate_backends(shape: FleetShape) -> FleetShape:
    return replace(shape, separate_backends=True, capacity=Capacity(cold_period=COLD_SECONDS))


def _crowd_source(shape: FleetShape) -> FleetShape:
    return replace(shape, reader_limit=CROWDED_READERS)


def _describe(body: Body) -> str:
    return (body.__doc__ or "").strip().splitlines()[0]


def _configuration(name: str, body: Body, *promises: Guarantee) -> Scenario:
    required = (*CONFIGURATION_GUARANTEES, *REQUEST_GUARANTEES, *promises)
    return Scenario(name, _describe(body), body, required)


def _requests(name: str, body: Body, *promises: Guarantee) -> Scenario:
    required = (*REQUEST_GUARANTEES, *promises)
    return Scenario(name, _describe(body), body, required, _separate_backends, REQUEST_RATE)


_ALL = (
    _configuration("quiet", configuration.quiet),
    _configuration("steady-edits", configuration.steady_edits),
    _configuration("herd-killed", configuration.herd_killed),
    _configuration("nodes-paused", configuration.nodes_paused),
    _configuration("holders-killed", configuration.holders_killed),
    _configuration("zone-cut-off", configuration.zone_cut_off),
    _configuration("one-way-cut", configuration.one_way_cut),
    _configuration("source-down", configuration.source_down),
    _configuration("source-stale", configuration.source_stale),
    Scenario(
        "source-crowded",
        _describe(configuration.source_crowded),
        configuration.source_crowded,
        (*CONFIGURATION_GUARANTEES, *REQUEST_GUARANTEES),
        _crowd_source,
    ),
    _configuration("machine-list-down", configuration.machine_list_down),
    _configuration("bad-revisions", configuration.bad_revisions, Guarantee.REJECTED_NEVER_IN_FORCE),
    _requests("backends-killed", requests.backends_killed),
    _requests("backends-frozen", requests.backends_frozen),
    _requests("backends-shedding", requests.backends_shedding),
    _requests("backends-leaving", requests.backends_leaving, Guarantee.LEAVING_GETS_NO_WORK),
    _requests("backends-lying", requests.backends_lying),
    _requests("answers-late-and-crossed", requests.answers_late_and_crossed),
    _requests("nodes-stopped", requests.nodes_stopped, Guarantee.SHUTDOWN_CUTS_NOTHING),
    _requests("routes-moved", requests.routes_moved, *CONFIGURATION_GUARANTEES),
    _requests("storm", storm.storm, *CONFIGURATION_GUARANTEES),
)

SCENARIOS = {scenario.name: scenario for scenario in _ALL}


def find_scenario(name: str) -> Scenario:
    """Return a scenario.

    Raises:
        UnknownScenarioError: there is none of this name.
    """
    if name not in SCENARIOS:
        raise UnknownScenarioError(f"no scenario {name!r}; there are {', '.join(SCENARIOS)}")
    return SCENARIOS[name]
