"""What a soak found, and the exit code that follows."""

from __future__ import annotations

import msgspec

from pewtertack.cli.exit_codes import ExitCode
from pewtertack.lab.history.verdicts import Guarantee, Judgement, Verdict
from pewtertack.lab.report.report import RouteOutcomes

REQUIRED = (
    Guarantee.REVISIONS_MONOTONIC,
    Guarantee.REVISIONS_INTACT,
    Guarantee.IN_FORCE_EVERYWHERE,
    Guarantee.RESPONSES_INTACT_AND_MATCHING,
    Guarantee.AT_MOST_ONCE,
    Guarantee.NOT_RUN_IS_ACCURATE,
    Guarantee.SHUTDOWN_ANSWERS_ALL,
    Guarantee.RUNNING_NODE_ANSWERS_ALL,
    Guarantee.CRASHING_REQUESTS_LIMITED,
)
"""Promises that a soak must put to the test."""


class SoakResult(msgspec.Struct, frozen=True, kw_only=True):
    """Everything that one soak found."""

    minutes: float
    seed: int
    nodes: int
    disabled_mechanism: str
    seconds: float
    """How long it took, start and settling included."""
    interrupted: bool
    faults: dict[str, int]
    """How many faults of each kind were made."""
    routes: dict[str, RouteOutcomes]
    verdicts: list[Verdict]
    problems: list[str]
    resident_megabytes: float
    """The most that any node held."""
    descriptors: int
    """The most that any node had open."""

    @property
    def violated(self) -> bool:
        """Whether a promise was broken, or a condition of the run did not hold."""
        broken = any(verdict.judgement is Judgement.VIOLATED for verdict in self.verdicts)
        return broken or bool(self.problems)

    @property
    def untested(self) -> list[Guarantee]:
        """Return the required promises that nothing put to the test."""
        held = {verdict.promise for verdict in self.verdicts if verdict.judged}
        return [promise for promise in REQUIRED if promise not in held]

    @property
    def exit_code(self) -> ExitCode:
        """1 when a promise was violated or, in a whole run, not put to the test."""
        if self.violated:
            return ExitCode.FOUND
        if self.interrupted:
            return ExitCode.UNUSABLE_INPUT
        return ExitCode.FOUND if self.untested else ExitCode.OK

    @property
    def verdict(self) -> str:
        """The verdict in a word."""
        if self.violated:
            return "violated"
        if self.interrupted:
            return "interrupted"
        return "not put to the test" if self.untested else "held"
