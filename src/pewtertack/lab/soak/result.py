"""Result of a soak, its verdict and exit code."""

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
    Guarantee.RATE_LIMIT_KEPT,
)
"""Guarantees that every complete soak must test."""


class SoakResult(msgspec.Struct, frozen=True, kw_only=True):
    """Result of one soak."""

    minutes: float
    seed: int
    nodes: int
    disabled_mechanism: str
    seconds: float
    """Duration, including start and settling."""
    interrupted: bool
    faults: dict[str, int]
    """Number of faults started, by kind."""
    routes: dict[str, RouteOutcomes]
    verdicts: list[Verdict]
    problems: list[str]
    resident_megabytes: float
    """Maximum resident memory of any node."""
    descriptors: int
    """Maximum number of open descriptors of any node."""

    @property
    def violated(self) -> bool:
        """Whether a guarantee was violated or a condition of the run did not hold."""
        any_violated = any(verdict.judgement is Judgement.VIOLATED for verdict in self.verdicts)
        return any_violated or bool(self.problems)

    @property
    def untested(self) -> list[Guarantee]:
        """The required guarantees for which nothing was judged."""
        tested = {verdict.promise for verdict in self.verdicts if verdict.judged}
        return [guarantee for guarantee in REQUIRED if guarantee not in tested]

    @property
    def exit_code(self) -> ExitCode:
        """``FOUND`` if a guarantee was violated or, in a complete run, was not tested."""
        if self.violated:
            return ExitCode.FOUND
        if self.interrupted:
            return ExitCode.UNUSABLE_INPUT
        return ExitCode.FOUND if self.untested else ExitCode.OK

    @property
    def verdict(self) -> str:
        """The verdict as text for operators."""
        if self.violated:
            return "violated"
        if self.interrupted:
            return "interrupted"
        return "not put to the test" if self.untested else "held"
