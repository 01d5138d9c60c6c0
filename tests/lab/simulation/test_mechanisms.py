"""Each mechanism's proof: a promise breaks without it and holds with it.

The schedules stand in ``mechanisms/NAME.json``.
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
    """What breaks at least without a mechanism; ``also_off`` would cover for it.

    Others may break too, as it happens: a fleet that goes back and forth between
    two revisions may have either in force when a bound ends.
    """

    broken: frozenset[Guarantee]
    also_off: tuple[str, ...] = ()


PROOFS = {
    "quorum_gate": Proof(frozenset({Guarantee.REVISIONS_MONOTONIC, Guarantee.IN_FORCE_EVERYWHERE})),
    "join_before_serving": Proof(frozenset({Guarantee.NEVER_REVERTED})),
    "pause_detection": Proof(frozenset({Guarantee.NEVER_REVERTED})),
    "validation": Proof(frozenset({Guarantee.ROUTES_COMPLETE, Guarantee.REJECTED_NEVER_IN_FORCE})),
    "monotonic_numbers": Proof(
        frozenset({Guarantee.REVISIONS_MONOTONIC}), also_off=("quorum_gate",)
    ),
    "lazy_repair": Proof(frozenset({Guarantee.IN_FORCE_EVERYWHERE})),
}


def broken_promises(name: str, switched_off: tuple[str, ...]) -> frozenset[Guarantee]:
    schedule = decode_schedule((DIRECTORY / f"{name}.json").read_bytes())
    profile = PROFILES[schedule.profile]
    for mechanism in switched_off:
        profile = without_mechanism(profile, mechanism)
    result = run_schedule(schedule, profile)
    return frozenset(verdict.promise for verdict in result.violations)


class MechanismTest(unittest.TestCase):
    def test_every_mechanism_has_a_proof(self) -> None:
        names = {field.name for field in msgspec.structs.fields(Mechanisms)}
        self.assertEqual(set(PROOFS), names)

    def test_promises_break_without_the_mechanism(self) -> None:
        for name, proof in PROOFS.items():
            with self.subTest(name):
                broken = broken_promises(name, (name, *proof.also_off))
                self.assertLessEqual(proof.broken, broken)

    def test_promises_hold_with_the_mechanism(self) -> None:
        for name, proof in PROOFS.items():
            with self.subTest(name):
                self.assertEqual(broken_promises(name, ()), frozenset())
                self.assertEqual(broken_promises(name, proof.also_off), frozenset())


if __name__ == "__main__":
    unittest.main()
