"""Faults and departures of back ends."""

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
    """Makes back ends misbehave or leave."""

    plan: FleetPlan
    client: ControlClient
    recorder: HistoryRecorder

    async def inject_faults(self, name: str, faults: BackendFaults, description: str) -> None:
        """Make one back end misbehave; ``description`` goes into the history."""
        self.recorder.record(BackendFault(time=time.time(), backend=name, fault=description))
        await self._set(name, faults)

    async def announce_leaving(self, name: str) -> None:
        """Let one back end say in its answers that it leaves."""
        await self._set(name, BackendFaults(leaving=True))
        self.recorder.record(BackendLeaving(time=time.time(), backend=name))

    async def clear_faults(self, name: str) -> None:
        """Let one back end behave well."""
        await self._set(name, BackendFaults())
        self.recorder.record(BackendFault(time=time.time(), backend=name, fault="none"))

    async def close(self, name: str) -> None:
        """Reset all connections of one back end and refuse new ones."""
        self.recorder.record(BackendFault(time=time.time(), backend=name, fault="closed"))
        await self.client.request("POST", self._control(name), f"/close/{name}")

    async def _set(self, name: str, faults: BackendFaults) -> None:
        await self.client.request("POST", self._control(name), f"/faults/{name}", faults)

    def _control(self, name: str) -> Address:
        return self.plan.backend_controls[self.plan.backends[name].process]
