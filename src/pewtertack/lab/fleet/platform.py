"""Operators' edits, faults and restores of the two simulated platform services."""

from __future__ import annotations

import time
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import anyio
import msgspec

from pewtertack.core.configuration.validation import check_document
from pewtertack.core.revision import digest_of
from pewtertack.lab.fleet.control import ControlClient
from pewtertack.lab.fleet.history import HistoryRecorder
from pewtertack.lab.fleet.plan import FleetPlan, ServicePlan
from pewtertack.lab.platform.application import ReaderCounters
from pewtertack.lab.platform.store import Availability, PlatformFaults
from pewtertack.lab.records import Edit, SourceFault

SOURCE = "source"
MACHINES = "machines"
NO_FAULT = "none"


class _EditResponse(msgspec.Struct):
    number: int


@dataclass(frozen=True, slots=True)
class PlatformControl:
    """Edits the tree and the machine list, and injects faults into both services."""

    plan: FleetPlan
    client: ControlClient
    recorder: HistoryRecorder
    write_lock: anyio.Lock = field(default_factory=anyio.Lock)
    """Held while the platform is unreachable, because it acknowledges no edits then."""

    def record_first_tree(self) -> None:
        """Record the first tree of the source as an edit."""
        self._record_edit(1, self.plan.shape.tree, time.time())

    async def put_tree(self, tree: Mapping[str, Any], expected: int | None = None) -> Edit:
        """Edit the tree and return the record of the edit.

        Raises:
            NumberConflictError: ``expected`` is given and is not the current number.
        """
        path = "/tree" if expected is None else f"/tree?expected={expected}"
        async with self.write_lock:
            started_at = time.time()
            response = await self.client.request("PUT", self.plan.source.control, path, tree)
            number = msgspec.json.decode(response, type=_EditResponse).number
            return self._record_edit(number, tree, started_at)

    def _record_edit(self, number: int, tree: Mapping[str, Any], edited_at: float) -> Edit:
        valid = not check_document(tree)
        edit = Edit(time=edited_at, revision=number, digest=digest_of(tree).hex(), valid=valid)
        self.recorder.record(edit)
        return edit

    async def inject_source_faults(self, faults: PlatformFaults, description: str) -> None:
        """Replace the faults of the source; the history records ``description``."""
        self.recorder.record(SourceFault(time=time.time(), service=SOURCE, fault=description))
        await self.client.request("POST", self.plan.source.control, "/faults", faults)

    async def clear_source_faults(self) -> None:
        """Remove all faults of the source."""
        await self.client.request("POST", self.plan.source.control, "/faults", PlatformFaults())
        self.recorder.record(SourceFault(time=time.time(), service=SOURCE, fault=NO_FAULT))

    async def inject_machine_list_fault(self, availability: Availability) -> None:
        """Make the machine list unavailable."""
        self.recorder.record(SourceFault(time=time.time(), service=MACHINES, fault=availability))
        faults = PlatformFaults(availability=availability, lag=self.plan.shape.machine_list_lag)
        await self.client.request("POST", self.plan.machines.control, "/faults", faults)

    async def clear_machine_list_faults(self) -> None:
        """Make the machine list available again, with its usual lag."""
        faults = PlatformFaults(lag=self.plan.shape.machine_list_lag)
        await self.client.request("POST", self.plan.machines.control, "/faults", faults)
        self.recorder.record(SourceFault(time=time.time(), service=MACHINES, fault=NO_FAULT))

    async def restore(self, outage_seconds: float, copy_age: float) -> None:
        """Make both services unreachable, then restore them from copies, in a new era.

        Edits made since the copies are lost until they are written again (`replay_lost_writes`).

        Args:
            outage_seconds: how long the services are unreachable.
            copy_age: the age of the copies in seconds when the outage begins.
        """
        services = (self.plan.source.control, self.plan.machines.control)
        async with self.write_lock:
            copied_at = time.time() - copy_age
            for control in services:
                await self.client.request("POST", control, "/away")
            await anyio.sleep(outage_seconds)
            for control in services:
                await self.client.request("POST", control, f"/return?copied_at={copied_at}")

    async def replay_lost_writes(self, *services: ServicePlan) -> None:
        """Make the writers of ``services`` write again what a restore has lost."""
        for service in services:
            async with self.write_lock:
                await self.client.request("POST", service.control, "/write-again")

    async def mark_leaving(self, machine: str) -> None:
        """Mark a machine as leaving in the machine list."""
        await self.client.request("POST", self.plan.machines.control, f"/leaving/{machine}")

    async def remove_machine(self, machine: str) -> None:
        """Remove a machine from the machine list."""
        await self.client.request("DELETE", self.plan.machines.control, f"/machines/{machine}")

    async def add_machine(self, machine: str, started_at: int = 0) -> None:
        """Add a machine of the plan to the machine list, or reset its entry, as live.

        Args:
            machine: its name.
            started_at: its latest start in Unix milliseconds; 0 if it never started again.
        """
        entry = self.plan.machine_list()[machine]
        if started_at:
            entry["started_at"] = started_at
        path = f"/machines/{machine}"
        await self.client.request("PUT", self.plan.machines.control, path, entry)

    async def source_counters(self) -> ReaderCounters:
        """Return the read counters of the source."""
        response = await self.client.request("GET", self.plan.source.control, "/counters")
        return msgspec.json.decode(response, type=ReaderCounters)
