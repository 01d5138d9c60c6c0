"""Errors of the lab's tools."""

from __future__ import annotations

from typing import ClassVar

from pewtertack.errors import LabError


class LabUsageError(LabError):
    """A flag or a file given to a lab command is wrong."""

    code: ClassVar[str] = "lab-usage"


class SoakOptionError(LabUsageError):
    """An option of a soak makes no sense, or the machine is too small for it."""

    code: ClassVar[str] = "soak-option"


class ConvergenceOptionError(LabUsageError):
    """An option of a convergence run makes no sense."""

    code: ClassVar[str] = "convergence-option"


class SlowSourceOptionError(LabUsageError):
    """An option of a series with a slow source makes no sense."""

    code: ClassVar[str] = "slow-source-option"


class ProcessFailedError(LabError):
    """A process of the fleet ended or did not become ready."""

    code: ClassVar[str] = "process-failed"


class FleetTimeoutError(LabError):
    """A condition that the lab waits for did not come true in time."""

    code: ClassVar[str] = "fleet-timeout"


class ControlRefusedError(LabError):
    """A stand-in refused a control request."""

    code: ClassVar[str] = "control-refused"


class NumberConflictError(LabError):
    """Another operator's edit came first: the expected number is no longer current."""

    code: ClassVar[str] = "number-conflict"


class UnknownScenarioError(LabError):
    """No scenario has the given name."""

    code: ClassVar[str] = "unknown-scenario"


class FleetInterruptedError(LabError):
    """The lab was asked to stop (SIGTERM) while a fleet ran."""

    code: ClassVar[str] = "fleet-interrupted"


def flatten_exception_group(group: BaseExceptionGroup[BaseException]) -> list[BaseException]:
    """Return the exceptions of a group that are no groups themselves."""
    found: list[BaseException] = []
    for error in group.exceptions:
        found += (
            flatten_exception_group(error) if isinstance(error, BaseExceptionGroup) else [error]
        )
    return found
