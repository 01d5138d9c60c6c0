"""Errors raised by the lab's tools."""

from __future__ import annotations

from typing import ClassVar

from pewtertack.errors import LabError


class LabUsageError(LabError):
    """An option or a file given to a lab command is invalid."""

    code: ClassVar[str] = "lab-usage"


class SoakOptionError(LabUsageError):
    """An option of a soak run is invalid, or the machine is too small for the run."""

    code: ClassVar[str] = "soak-option"


class ConvergenceOptionError(LabUsageError):
    """An option of a convergence run is invalid."""

    code: ClassVar[str] = "convergence-option"


class SlowSourceOptionError(LabUsageError):
    """An option of a series of runs with a slow source is invalid."""

    code: ClassVar[str] = "slow-source-option"


class ProcessFailedError(LabError):
    """A process of the fleet exited unexpectedly or did not become ready."""

    code: ClassVar[str] = "process-failed"


class FleetTimeoutError(LabError):
    """A condition that the lab waits for was not met in time."""

    code: ClassVar[str] = "fleet-timeout"


class ControlRefusedError(LabError):
    """A stand-in service refused a control request."""

    code: ClassVar[str] = "control-refused"


class NumberConflictError(LabError):
    """The expected number is no longer current, because of another operator's edit."""

    code: ClassVar[str] = "number-conflict"


class UnknownScenarioError(LabError):
    """No scenario has the given name."""

    code: ClassVar[str] = "unknown-scenario"


class FleetInterruptedError(LabError):
    """The lab received SIGTERM while a fleet was running."""

    code: ClassVar[str] = "fleet-interrupted"


def flatten_exception_group(group: BaseExceptionGroup[BaseException]) -> list[BaseException]:
    """Return the exceptions of ``group`` and its nested groups as a flat list."""
    leaves: list[BaseException] = []
    for error in group.exceptions:
        leaves += (
            flatten_exception_group(error) if isinstance(error, BaseExceptionGroup) else [error]
        )
    return leaves
