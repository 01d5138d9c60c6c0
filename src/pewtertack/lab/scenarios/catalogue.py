"""The catalogue of scenarios, by name."""

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
    Scenario,
    ScenarioBody,
)

REQUESTS_PER_SECOND = 80.0
COLD_PERIOD_SECONDS = 2.0
MAX_CONCURRENT_READERS = 3


def _separate_backends(shape: FleetShape) -> FleetShape:
    return replace(
        shape, separate_backends=True, capacity=Capacity(cold_period=COLD_PERIOD_SECONDS)
    )


def _limit_source_readers(shape: FleetShape) -> FleetShape:
    return replace(shape, reader_limit=MAX_CONCURRENT_READERS)


def _describe(body: ScenarioBody) -> str:
    return (body.__doc__ or "").strip().splitlines()[0]


def _configuration_scenario(name: str, body: ScenarioBody, *guarantees: Guarantee) -> Scenario:
    required = (*CONFIGURATION_GUARANTEES, *REQUEST_GUARANTEES, *guarantees)
    return Scenario(name, _describe(body), body, required)


def _request_scenario(name: str, body: ScenarioBody, *guarantees: Guarantee) -> Scenario:
    required = (*REQUEST_GUARANTEES, *guarantees)
    return Scenario(name, _describe(body), body, required, _separate_backends, REQUESTS_PER_SECOND)


_ALL = (
    _configuration_scenario("quiet", configuration.quiet),
    _configuration_scenario("steady-edits", configuration.steady_edits),
    _configuration_scenario("herd-killed", configuration.herd_killed),
    _configuration_scenario("nodes-paused", configuration.nodes_paused),
    _configuration_scenario("holders-killed", configuration.holders_killed),
    _configuration_scenario("zone-cut-off", configuration.zone_cut_off),
    _configuration_scenario("one-way-cut", configuration.one_way_cut),
    _configuration_scenario("source-down", configuration.source_down),
    _configuration_scenario("source-stale", configuration.source_stale),
    Scenario(
        "source-crowded",
        _describe(configuration.source_crowded),
        configuration.source_crowded,
        (*CONFIGURATION_GUARANTEES, *REQUEST_GUARANTEES),
        _limit_source_readers,
    ),
    _configuration_scenario("machine-list-down", configuration.machine_list_down),
    _configuration_scenario(
        "bad-revisions", configuration.bad_revisions, Guarantee.REJECTED_NEVER_IN_FORCE
    ),
    _request_scenario("backends-killed", requests.backends_killed),
    _request_scenario("backends-frozen", requests.backends_frozen),
    _request_scenario("backends-shedding", requests.backends_shedding),
    _request_scenario(
        "backends-leaving", requests.backends_leaving, Guarantee.LEAVING_GETS_NO_WORK
    ),
    _request_scenario("backends-lying", requests.backends_lying),
    _request_scenario("answers-late-and-crossed", requests.answers_late_and_crossed),
    _request_scenario("nodes-stopped", requests.nodes_stopped, Guarantee.SHUTDOWN_CUTS_NOTHING),
    _request_scenario("routes-moved", requests.routes_moved, *CONFIGURATION_GUARANTEES),
    _request_scenario("storm", storm.storm, *CONFIGURATION_GUARANTEES),
)

SCENARIOS = {scenario.name: scenario for scenario in _ALL}


def find_scenario(name: str) -> Scenario:
    """Return the scenario called ``name``.

    Raises:
        UnknownScenarioError: no scenario has this name.
    """
    if name not in SCENARIOS:
        raise UnknownScenarioError(f"unknown scenario {name!r}; accepted: {', '.join(SCENARIOS)}")
    return SCENARIOS[name]
