"""Proves that each mechanism is needed: a guarantee is violated without it and holds with it.

The schedules are in ``mechanisms/NAME.json``.
"""

import unittest
from dataclasses import dataclass
from pathlib import Path

import msgspec

from pewtertack.core.profile import PROFILES, Mechanisms
from pewtertack.lab.history.verdicts import Guarantee
from pewtertack.lab.simulation.execution import run_schedule, without_mechanism
from pewtertack.lab.simulation.schedules import decode_schedule

DIRECTORY = Path(__file__).parent / "mechanisms"


@dataclass(frozen=True)
class Proof:
    """The guarantees that are violated at least without a mechanism.

    The mechanisms ``also_disabled`` would hide the violation. Other guarantees may be
    violated by chance: a fleet that alternates between two revisions may have either one
    in force when a bound ends.
    """

    violated: frozenset[Guarantee]
    also_disabled: tuple[str, ...] = ()


PROOFS = {
    "quorum_gate": Proof(frozenset({Guarantee.REVISIONS_MONOTONIC, Guarantee.IN_FORCE_EVERYWHERE})),
    "join_before_serving": Proof(frozenset({Guarantee.NEVER_REVERTED})),
    "pause_detection": Proof(frozenset({Guarantee.NEVER_REVERTED})),
    "validation": Proof(frozenset({Guarantee.ROUTES_COMPLETE, Guarantee.REJECTED_NEVER_IN_FORCE})),
    "monotonic_numbers": Proof(
        frozenset({Guarantee.REVISIONS_MONOTONIC}), also_disabled=("quorum_gate",)
    ),
    "lazy_repair": Proof(frozenset({Guarantee.IN_FORCE_EVERYWHERE})),
}


def violated_guarantees(name: str, disabled: tuple[str, ...]) -> frozenset[Guarantee]:
    schedule = decode_schedule((DIRECTORY / f"{name}.json").read_bytes())
    profile = PROFILES[schedule.profile]
    for mechanism in disabled:
        profile = without_mechanism(profile, mechanism)
    result = run_schedule(schedule, profile)
    return frozenset(verdict.promise for verdict in result.violations)


class MechanismTest(unittest.TestCase):
    def test_every_mechanism_has_a_proof(self) -> None:
        names = {field.name for field in msgspec.structs.fields(Mechanisms)}
        self.assertEqual(set(PROOFS), names)

    def test_guarantees_are_violated_without_the_mechanism(self) -> None:
        for name, proof in PROOFS.items():
            with self.subTest(name):
                violated = violated_guarantees(name, (name, *proof.also_disabled))
                self.assertLessEqual(proof.violated, violated)

    def test_guarantees_hold_with_the_mechanism(self) -> None:
        for name, proof in PROOFS.items():
            with self.subTest(name):
                self.assertEqual(violated_guarantees(name, ()), frozenset())
                self.assertEqual(violated_guarantees(name, proof.also_disabled), frozenset())


if __name__ == "__main__":
    unittest.main()
