"""Injects faults into back ends and lets them leave."""

from __future__ import annotations

import time
from dataclasses import dataclass

from pewtertack.lab.backend.state import BackendFaults
from pewtertack.lab.fleet.control import ControlClient
from pewtertack.lab.fleet.history import HistoryRecorder
from pewtertack.lab.fleet.plan import FleetPlan
from pewtertack.lab.records import BackendFault, BackendLeaving
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

    async def close(self, name: str) -> None:
        """Reset all connections of a back end and refuse new ones."""
        self.recorder.record(BackendFault(time=time.time(), backend=name, fault="closed"))
        await self.client.request("POST", self._control_address(name), f"/close/{name}")

    async def _set_faults(self, name: str, faults: BackendFaults) -> None:
        await self.client.request("POST", self._control_address(name), f"/faults/{name}", faults)

    def _control_address(self, name: str) -> Address:
        return self.plan.backend_controls[self.plan.backends[name].process]
