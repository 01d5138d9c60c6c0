"""Restores of the store in random order with writes, disconnections, node stops and starts."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Callable
from typing import Any

from hypothesis import HealthCheck, example, given, settings
from hypothesis import strategies as st

from pewtertack.core.profile import LEASED
from pewtertack.lab.metadata_store.application import StoreSnapshot
from tests.platform.restored_fleet import (
    SINGLE_READER_PROFILE,
    FleetNode,
    RestoredFleet,
    configuration,
    entry,
)

STEPS = st.lists(
    st.sampled_from(
        ["edit", "evacuate", "withdraw", "add", "remove", "drain"]
        + ["heartbeat", "copy", "restore", "restore", "disconnect", "reconnect"]
        + ["isolate", "rejoin", "start", "stop"]
    ),
    max_size=14,
)
REWRITE_SECONDS = 2.0
"""Seconds within which operator and back ends rewrite everything that was lost."""
SETTLE_SECONDS = 14.0
"""Seconds after which the hold period has ended and all nodes have read the store."""


class Scenario:
    """A fleet, and the state that operator and back ends have written to the store."""

    def __init__(self, single_reader: bool) -> None:
        self.fleet = RestoredFleet(profile=SINGLE_READER_PROFILE if single_reader else LEASED)
        self.store = self.fleet.store
        self.version, self.evacuated_by_operator = 12, False
        self.entries: dict[str, dict[str, Any]] = {}
        self.added_count = 0
        self.copy: StoreSnapshot | None = None
        self.violations: list[str] = []
        """Invalid states of nodes between a restore and the first write after it."""

    async def start_fleet(self) -> None:
        self.store.put("op/config", configuration(self.version))
        for _ in range(3):
            self.add_backend()
        for _ in range(3):
            self.fleet.start_node()
        await self.fleet.run(4.0)
        self.copy = self.store.snapshot()

    def add_backend(self) -> None:
        self.added_count += 1
        name = f"i-{self.added_count}"
        self.entries[name] = {
            "number": self.added_count,
            "State": "ready",
            "born": self.added_count,
        }
        self.put(name)

    def put(self, name: str) -> None:
        self.store.put(f"servers/{name}", entry(**self.entries[name]))

    def edit(self) -> None:
        self.version += 3
        self.store.put("op/config", configuration(self.version))

    def set_evacuated(self, evacuated_by_operator: bool) -> None:
        self.evacuated_by_operator = evacuated_by_operator
        if evacuated_by_operator:
            self.store.put("op/evacuate/howrah", b"{}")
        elif "op/evacuate/howrah" in self.store._items:
            self.store.remove("op/evacuate/howrah")

    def remove_backend(self) -> None:
        for name in list(self.entries)[:1]:
            del self.entries[name]
            self.store.remove(f"servers/{name}")

    def drain_backend(self) -> None:
        for name in list(self.entries)[:1]:
            self.entries[name]["State"] = "draining"
            self.put(name)

    async def restore_store(self) -> None:
        assert self.copy is not None
        disconnected = [node.client.disconnected for node in self.fleet.nodes]
        for node in self.fleet.nodes:
            node.client.disconnected = True
        await self.fleet.run(0.3)
        before = {node.name: set(node.ready) for node in self.fleet.nodes}
        removed = {node.name: node.ever_ready - before[node.name] for node in self.fleet.nodes}
        evacuated = {node.name: node.evacuated for node in self.fleet.nodes}
        all_connected = not self.fleet.isolated and not any(disconnected)
        had_ended = all_connected and not self.evacuated_by_operator and self.has_recorded_end()
        self.store.restore_from(self.copy)
        for node, was_disconnected in zip(self.fleet.nodes, disconnected, strict=True):
            node.client.disconnected = was_disconnected
        await self.fleet.run(REWRITE_SECONDS / 2)
        for node in self.fleet.nodes:
            self.check_backends(node, before[node.name], self.known_removed(node, removed))
            if self.evacuated_by_operator and not evacuated[node.name] <= node.evacuated:
                self.violations.append(f"{node.name}: evacuates only {set(node.evacuated)}")
            if had_ended and node.evacuated:
                self.violations.append(f"{node.name}: evacuates {set(node.evacuated)} again")
        self.set_evacuated(self.evacuated_by_operator)
        await self.fleet.run(REWRITE_SECONDS / 4)
        self.store.put("op/config", configuration(self.version))
        await self.fleet.run(REWRITE_SECONDS / 4)
        for name in self.entries:
            self.put(name)
        for key in list(self.store._items):
            name = key.removeprefix("servers/")
            if name != key and name not in self.entries:
                self.store.remove(key)
        self.copy = self.store.snapshot()

    def has_recorded_end(self) -> bool:
        """Return whether no node has an evacuation, and most recorded the end of one."""
        nodes = self.fleet.nodes
        seen = [node for node in nodes if node.core.replication._ended_evacuations.ended]
        return not any(node.evacuated for node in nodes) and 2 * len(seen) > len(nodes)

    def known_removed(self, node: FleetNode, removed: dict[str, set[str]]) -> set[str]:
        """Return the back ends known as removed to the node or to peers that it receives from."""
        isolated = self.fleet.isolated
        receives_from_peers = node.serving and node.name not in isolated
        peers = removed.keys() - isolated if receives_from_peers else set()
        removed_by_peers = set().union(*(removed[name] for name in peers)) - self.ready_backends()
        return removed[node.name] | removed_by_peers

    def ready_backends(self) -> set[str]:
        return {name for name, fields in self.entries.items() if fields["State"] == "ready"}

    def check_backends(self, node: FleetNode, before: set[str], removed: set[str]) -> None:
        """Record back ends that only the copy added again, and those dropped as it lacks them."""
        ready = set(node.ready)
        readded = (ready - before) & removed
        dropped = (before & self.ready_backends()) - ready
        if readded or dropped:
            self.violations.append(f"{node.name}: re-added {readded}, dropped {dropped}")

    async def execute(self, step: str) -> None:
        if step == "restore":
            await self.restore_store()
            return
        actions: dict[str, Callable[[], object]] = {
            "edit": self.edit,
            "evacuate": lambda: self.set_evacuated(True),
            "withdraw": lambda: self.set_evacuated(False),
            "add": self.add_backend,
            "heartbeat": self.write_heartbeats,
            "remove": self.remove_backend,
            "drain": self.drain_backend,
            "copy": self.take_copy,
            "disconnect": lambda: self.set_first_disconnected(True),
            "reconnect": lambda: self.set_first_disconnected(False),
            "isolate": lambda: self.fleet.isolated.add(self.fleet.nodes[-1].name),
            "rejoin": self.fleet.isolated.clear,
            "start": self.start_node,
            "stop": self.stop_node,
        }
        actions[step]()

    def write_heartbeats(self) -> None:
        for _ in range(20):
            for name in self.entries:
                self.put(name)

    def take_copy(self) -> None:
        self.copy = self.store.snapshot()

    def set_first_disconnected(self, disconnected: bool) -> None:
        self.fleet.nodes[0].client.disconnected = disconnected

    def start_node(self) -> None:
        if len(self.fleet.nodes) < 5:
            self.fleet.start_node()

    def stop_node(self) -> None:
        if len(self.fleet.nodes) > 3:
            self.fleet.nodes.pop(0)

    def reconnect_all(self) -> None:
        self.fleet.isolated = set()
        for node in self.fleet.nodes:
            node.client.disconnected = False


class RandomRestoresTest(unittest.TestCase):
    def check_order(self, node: FleetNode) -> None:
        self.assertEqual(node.versions, sorted(node.versions), node.name)
        self.assertEqual(node.list_numbers, sorted(node.list_numbers), node.name)

    async def run_steps(self, steps: list[str], single_reader: bool) -> None:
        scenario = Scenario(single_reader)
        await scenario.start_fleet()
        for step in steps:
            await scenario.execute(step)
            await scenario.fleet.run(1.0)
            for node in scenario.fleet.nodes:
                self.check_order(node)
        self.assertEqual(scenario.violations, [])
        scenario.reconnect_all()
        await scenario.fleet.run(SETTLE_SECONDS)
        ready = sorted(
            name for name, fields in scenario.entries.items() if fields["State"] == "ready"
        )
        for node in scenario.fleet.nodes:
            self.check_order(node)
            self.assertTrue(node.serving)
            self.assertEqual(node.version, scenario.version)
            self.assertEqual(
                node.evacuated, {"howrah"} if scenario.evacuated_by_operator else set()
            )
            self.assertEqual(node.ready, ready)
            self.assertEqual(node.core.replication.era, scenario.store.era)

    @settings(
        max_examples=40,
        deadline=None,
        derandomize=True,
        suppress_health_check=[HealthCheck.too_slow],
    )
    @given(STEPS, st.booleans())
    @example(
        ["start", "add", "restore", "heartbeat", "remove", "start", "reconnect", "restore"], True
    )
    @example(["restore", "remove", "start", "remove", "start", "drain", "restore", "start"], True)
    @example(["evacuate", "copy", "withdraw", "start", "edit", "edit", "restore"], True)
    @example(["evacuate", "copy", "withdraw", "start", "restore"], False)
    @example(["evacuate", "restore", "start", "withdraw", "restore", "withdraw", "start"], True)
    @example(
        ["remove", "start", "disconnect", "add", "remove", "remove", "restore", "remove"], False
    )
    def test_nodes_never_revert_and_finally_converge(
        self, steps: list[str], single_reader: bool
    ) -> None:
        asyncio.run(self.run_steps(steps, single_reader))
