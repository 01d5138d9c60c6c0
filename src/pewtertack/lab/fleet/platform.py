"""Operators' edits and faults of the platform's two services."""

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


class _Numbered(msgspec.Struct):
    number: int


@dataclass(frozen=True, slots=True)
class PlatformControl:
    """Edits the tree and the machine list, and makes both services fail."""

    plan: FleetPlan
    client: ControlClient
    recorder: HistoryRecorder
    write_lock: anyio.Lock = field(default_factory=anyio.Lock)
    """Held while the platform is away: nothing is acknowledged then."""

    def record_first_tree(self) -> None:
        """Record the tree that the source starts with."""
        self._record_edit(1, self.plan.shape.tree, time.time())

    async def put_tree(self, tree: Mapping[str, Any], expected: int | None = None) -> Edit:
        """Edit the tree; returns the record of it.

        Raises:
            NumberConflictError: ``expected`` is given and no longer current.
        """
        path = "/tree" if expected is None else f"/tree?expected={expected}"
        async with self.write_lock:
            began = time.time()
            answer = await self.client.request("PUT", self.plan.source.control, path, tree)
            number = msgspec.json.decode(answer, type=_Numbered).number
            return self._record_edit(number, tree, began)

    def _record_edit(self, number: int, tree: Mapping[str, Any], when: float) -> Edit:
        valid = not check_document(tree)
        edit = Edit(time=when, revision=number, digest=digest_of(tree).hex(), valid=valid)
        self.recorder.record(edit)
        return edit

    async def inject_source_faults(self, faults: PlatformFaults, name: str) -> None:
        """Make the source misbehave; ``name`` describes it in the history."""
        self.recorder.record(SourceFault(time=time.time(), service=SOURCE, fault=name))
        await self.client.request("POST", self.plan.source.control, "/faults", faults)

    async def clear_source_faults(self) -> None:
        """Let the source behave well."""
        await self.client.request("POST", self.plan.source.control, "/faults", PlatformFaults())
        self.recorder.record(SourceFault(time=time.time(), service=SOURCE, fault=NO_FAULT))

    async def inject_machine_list_fault(self, availability: Availability) -> None:
        """Take the machine list down."""
        self.recorder.record(SourceFault(time=time.time(), service=MACHINES, fault=availability))
        faults = PlatformFaults(availability=availability, lag=self.plan.shape.machine_list_lag)
        await self.client.request("POST", self.plan.machines.control, "/faults", faults)

    async def clear_machine_list_faults(self) -> None:
        """Let the machine list answer, with its usual lag."""
        faults = PlatformFaults(lag=self.plan.shape.machine_list_lag)
        await self.client.request("POST", self.plan.machines.control, "/faults", faults)
        self.recorder.record(SourceFault(time=time.time(), service=MACHINES, fault=NO_FAULT))

    async def restore(self, away: float, age: float) -> None:
        """Let both services be away, then come back from copies ``age`` seconds old, in a new era.

        What was written since is lost until it is written again (`replay_lost_writes`).
        """
        services = (self.plan.source.control, self.plan.machines.control)
        async with self.write_lock:
            copied_at = time.time() - age
            for control in services:
                await self.client.request("POST", control, "/away")
            await anyio.sleep(away)
            for control in services:
                await self.client.request("POST", control, f"/return?copied_at={copied_at}")

    async def replay_lost_writes(self, *services: ServicePlan) -> None:
        """Let writers write again what a service has lost."""
        for service in services:
            async with self.write_lock:
                await self.client.request("POST", service.control, "/write-again")

    async def mark_leaving(self, machine: str) -> None:
        """Mark a machine as leaving in the list."""
        await self.client.request("POST", self.plan.machines.control, f"/leaving/{machine}")

    async def remove_machine(self, machine: str) -> None:
        """Take a machine off the list."""
        await self.client.request("DELETE", self.plan.machines.control, f"/machines/{machine}")

    async def add_machine(self, machine: str) -> None:
        """Put a machine of the plan on the list, live."""
        entry = self.plan.machine_list()[machine]
        path = f"/machines/{machine}"
        await self.client.request("PUT", self.plan.machines.control, path, entry)

    async def source_counters(self) -> ReaderCounters:
        """Return what the readers of the source did."""
        answer = await self.client.request("GET", self.plan.source.control, "/counters")
        return msgspec.json.decode(answer, type=ReaderCounters)
