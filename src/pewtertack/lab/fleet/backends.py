"""Injects faults into back ends and lets them leave."""

from __future__ import annotations

import time
from dataclasses import dataclass

from pewtertack.lab.backend.state import BackendFaults, BackendReports
from pewtertack.lab.fleet.control import ControlClient
from pewtertack.lab.fleet.history import HistoryRecorder
from pewtertack.lab.fleet.plan import FleetPlan
from pewtertack.lab.records import (
    BackendFault,
    BackendLeaving,
    BackendLeavingInAnswers,
    BackendRateLimit,
)
from pewtertack.settings import Address


@dataclass(frozen=True, slots=True)
class BackendControl:
    """Controls the faults of back ends and records them in the history."""

    plan: FleetPlan
    client: ControlClient
    recorder: HistoryRecorder

    async def inject_faults(self, name: str, faults: BackendFaults, description: str) -> None:
        """Replace the faults of a back end; the history records ``description``."""
        self.recorder.record(BackendFault(time=time.time(), backend=name, fault=description))
        await self._set_faults(name, faults)

    async def announce_leaving(self, name: str) -> None:
        """Make a back end report in its responses that it leaves."""
        await self._set_faults(name, BackendFaults(leaving=True))
        self.recorder.record(BackendLeaving(time=time.time(), backend=name))

    async def clear_faults(self, name: str) -> None:
        """Remove all faults of a back end."""
        await self._set_faults(name, BackendFaults())
        self.recorder.record(BackendFault(time=time.time(), backend=name, fault="none"))

    async def name_limit(self, name: str, rate: float | None) -> None:
        """Make a back end name a limit of requests a second in its answers, or none again."""
        reports = BackendReports() if rate is None else BackendReports(rate_limit=f"{rate:g}")
        await self._set_reports(name, reports)
        self.recorder.record(BackendRateLimit(time=time.time(), backend=name, rate=rate))

    async def report_leaving(self, name: str) -> None:
        """Make a back end say in its answers, and nowhere else, that it leaves."""
        await self._set_reports(name, BackendReports(leaving=True))
        self.recorder.record(BackendLeavingInAnswers(time=time.time(), backend=name))

    async def clear_reports(self, name: str) -> None:
        """Make a back end say nothing of itself but its load."""
        await self._set_reports(name, BackendReports())

    async def close(self, name: str) -> None:
        """Reset all connections of a back end and refuse new ones."""
        self.recorder.record(BackendFault(time=time.time(), backend=name, fault="closed"))
        await self.client.request("POST", self._control_address(name), f"/close/{name}")

    async def _set_faults(self, name: str, faults: BackendFaults) -> None:
        await self.client.request("POST", self._control_address(name), f"/faults/{name}", faults)

    async def _set_reports(self, name: str, reports: BackendReports) -> None:
        await self.client.request("POST", self._control_address(name), f"/reports/{name}", reports)

    def _control_address(self, name: str) -> Address:
        return self.plan.backend_controls[self.plan.backends[name].process]
