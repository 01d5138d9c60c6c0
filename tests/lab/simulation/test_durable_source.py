"""A fleet whose source acknowledges by itself, beside one whose source may forget."""

import unittest
from random import Random

from pewtertack.core.profile import DIRECT, FAST, SourceProperties, TimingProfile
from pewtertack.lab.history.checker import CheckGroup, check_history
from pewtertack.lab.history.verdicts import Guarantee, Judgement
from pewtertack.lab.simulation.documents import broken_tree_for_edit, tree_for_edit
from pewtertack.lab.simulation.execution import SIMULATION_BOUNDS, without_mechanism
from pewtertack.lab.simulation.fleet import FleetSettings, SimulatedFleet

DURABLE = SourceProperties(durable=True)
BOUND = 2.0
"""Seconds within which an edit must be in force on every node that lives."""


def fleet(
    source: SourceProperties, profile: TimingProfile = DIRECT, seed: int = 0
) -> SimulatedFleet:
    settings = FleetSettings(nodes=12, zones=4, profile=profile, source=source, seed=seed)
    made = SimulatedFleet(settings, tree_for_edit(1))
    made.start_all()
    made.run(6.0)
    return made


def in_force(made: SimulatedFleet) -> set[int]:
    return {process.core.replication.replica.in_force_number for process in made.processes.values()}


def violated(made: SimulatedFleet) -> list[Guarantee]:
    verdicts = check_history(made.lines, SIMULATION_BOUNDS, CheckGroup.CONFIGURATION)
    return [verdict.promise for verdict in verdicts if verdict.judgement is Judgement.VIOLATED]


class MostNodesDarkTest(unittest.TestCase):
    def lose_most(self, made: SimulatedFleet) -> None:
        made.pause(made.names[:9])
        made.edit(tree_for_edit(2), valid=True)

    def test_an_edit_is_in_force_on_the_living_while_a_majority_is_dark(self) -> None:
        made = fleet(DURABLE)
        self.lose_most(made)
        made.run(BOUND)
        living = [made.processes[name] for name in made.names[9:]]
        numbers = {item.core.replication.replica.in_force_number for item in living}
        self.assertEqual(numbers, {2})

    def test_the_majority_gate_stays_for_a_source_that_may_forget(self) -> None:
        made = fleet(SourceProperties(), FAST)
        self.lose_most(made)
        made.run(BOUND)
        living = [made.processes[name] for name in made.names[9:]]
        numbers = {item.core.replication.replica.in_force_number for item in living}
        self.assertEqual(numbers, {1})


class SourceDownTest(unittest.TestCase):
    def test_replacements_serve_by_what_their_peers_hold(self) -> None:
        made = fleet(DURABLE)
        made.edit(tree_for_edit(2), valid=True)
        made.run(BOUND)
        made.source.fail()
        made.machine_list.fail()
        made.kill(made.names[:6])
        made.run(0.5)
        made.start(made.names[:6])
        made.run(6.0)
        self.assertEqual(in_force(made), {2})
        self.assertTrue(all(process.serving for process in made.processes.values()))


class StaleReadTest(unittest.TestCase):
    """A stale read of a durable source is never a reason to go back."""

    def after_a_stale_read(self, profile: TimingProfile) -> SimulatedFleet:
        made = fleet(DURABLE, profile)
        made.edit(tree_for_edit(2), valid=True)
        made.run(BOUND)
        made.source.turn_stale(1)
        made.run(15.0)
        made.source.recover()
        made.run(10.0)
        return made

    def test_it_changes_nothing(self) -> None:
        self.assertEqual(violated(self.after_a_stale_read(DIRECT)), [])

    def test_the_check_notices_a_fleet_that_goes_back(self) -> None:
        weakened = without_mechanism(DIRECT, "monotonic_numbers")
        weakened = without_mechanism(weakened, "quorum_gate")  # commit marks would cover for it
        self.assertIn(Guarantee.REVISIONS_MONOTONIC, violated(self.after_a_stale_read(weakened)))


class RandomFaultsTest(unittest.TestCase):
    """Kills, pauses, outages and edits at random: no promise is broken."""

    def run_faults(self, seed: int) -> SimulatedFleet:
        made = fleet(DURABLE, seed=seed)
        random = Random(seed)
        number = 1
        for _ in range(12):
            names = random.sample(made.names, random.randint(1, 8))
            fault = random.choice(("kill", "pause", "outage", "edit", "bad-edit"))
            if fault == "kill":
                made.kill(names)
                made.run(random.random())
                made.start(names)
            elif fault == "pause":
                made.pause(names)
                made.run(3 * random.random())
                made.resume(names)
            elif fault == "outage":
                made.source.fail()
                made.record_source_fault("outage")
                made.run(3 * random.random())
                made.source.recover()
                made.record_source_fault("none")
            else:
                number += 1
                valid = fault == "edit"
                made.edit((tree_for_edit if valid else broken_tree_for_edit)(number), valid=valid)
            made.run(random.random())
        made.run(20.0)
        return made

    def test_no_promise_is_broken(self) -> None:
        for seed in range(20):
            with self.subTest(seed):
                self.assertEqual(violated(self.run_faults(seed)), [])
