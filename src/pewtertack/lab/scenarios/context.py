"""The interface between the body of a scenario and the running fleet."""

from __future__ import annotations

import random
import time
from dataclasses import dataclass, field

import anyio
import msgspec

from pewtertack.lab.fleet.fleet import Fleet
from pewtertack.lab.load.mix import EXTRA_TIMEOUT_SECONDS, CallKind, mix_of_tree
from pewtertack.lab.records import Edit, ZoneEvacuated, ZoneEvacuationEnded
from pewtertack.lab.scenarios.edits import TreeEditor


@dataclass(slots=True)
class ScenarioContext:
    """A running fleet with callers, a seeded random generator and the operators' edits."""

    fleet: Fleet
    random: random.Random
    editor: TreeEditor
    newest_valid: int = 1
    problems: list[str] = field(default_factory=list)

    async def edit(self) -> Edit:
        """Write a valid edit."""
        return self._track(await self.fleet.platform.put_tree(self.editor.make_valid_edit()))

    async def move_route(self) -> Edit:
        """Write an edit that moves a route to another service."""
        return self._track(await self.fleet.platform.put_tree(self.editor.move_route()))

    async def make_invalid_edit(self) -> Edit:
        """Write an edit that must be rejected."""
        return self._track(await self.fleet.platform.put_tree(self.editor.make_invalid_edit()))

    async def evacuate(self, zone: str) -> None:
        """Write an edit that evacuates ``zone``, so that its back ends receive no requests."""
        edit = self._track(
            await self.fleet.platform.put_tree(self.editor.set_evacuated_zones(zone))
        )
        backends = tuple(
            sorted(item.name for item in self.fleet.plan.backends.values() if item.zone == zone)
        )
        self.fleet.recorder.record(
            ZoneEvacuated(time=edit.time, zone=zone, backends=backends, revision=edit.revision)
        )

    async def end_evacuation(self, zone: str) -> None:
        """Write an edit that ends the evacuation of ``zone``."""
        before = time.time()
        edit = self._track(await self.fleet.platform.put_tree(self.editor.set_evacuated_zones()))
        self.fleet.recorder.record(
            ZoneEvacuationEnded(time=before, zone=zone, revision=edit.revision)
        )

    def _track(self, edit: Edit) -> Edit:
        if edit.valid:
            self.newest_valid = edit.revision
        return edit

    async def edit_for(self, seconds: float, pause: float) -> None:
        """Write valid edits for ``seconds``, with random gaps of ``pause`` seconds on average."""
        with anyio.move_on_after(seconds):
            while True:
                with anyio.CancelScope(shield=True):
                    await self.edit()
                await anyio.sleep(self.random.uniform(0.5, 1.5) * pause)

    async def wait_for_newest(self) -> None:
        """Wait until the newest valid edit is in force on every running node."""
        await self.fleet.wait_in_force(self.newest_valid)

    def pick_nodes(self, count: int) -> list[str]:
        """Pick ``count`` random nodes."""
        return self.random.sample(sorted(self.fleet.plan.nodes), count)

    def pick_half_of_nodes(self) -> list[str]:
        """Pick a random half of all nodes."""
        return self.pick_nodes(len(self.fleet.plan.nodes) // 2)

    def pick_backends(self, count: int) -> list[str]:
        """Pick ``count`` random back ends."""
        return self.random.sample(sorted(self.fleet.plan.backends), count)

    def long_calls(self, work_milliseconds: float, upload_bytes: int) -> list[CallKind]:
        """Return a long call for each route whose timeout is at least twice the work time.

        Calls that have a body get one of ``upload_bytes``.
        """
        kinds = mix_of_tree(self.fleet.plan.shape.tree)
        return [
            msgspec.structs.replace(
                kind,
                work_milliseconds=work_milliseconds,
                body_bytes=upload_bytes if kind.body_bytes else 0,
            )
            for kind in kinds
            if kind.client_timeout - EXTRA_TIMEOUT_SECONDS >= 2 * work_milliseconds / 1000
        ]

    def expect(self, holds: bool, problem: str) -> None:
        """Record ``problem`` unless ``holds`` is true."""
        if not holds:
            self.problems.append(problem)
