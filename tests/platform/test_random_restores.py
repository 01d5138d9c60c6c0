"""Returns of the store in random order with writes, cuts, ends and starts of nodes."""

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
    FEW_READERS,
    FleetNode,
    ReturningFleet,
    configuration,
    entry,
)

STEPS = st.lists(
    st.sampled_from(
        ["edit", "ask", "take-back", "come", "leave", "drain"]
        + ["beat", "copy", "return", "return", "cut", "heal", "dark", "light", "start", "stop"]
    ),
    max_size=14,
)
WRITTEN_AGAIN = 2.0
"""Seconds within which all has been written again that was lost."""
ENOUGH = 14.0
"""Seconds in which the time to hold what was known is over and all nodes have read."""


class World:
    """A fleet, and what operator and back ends believe to have written."""

    def __init__(self, few_readers: bool) -> None:
        self.fleet = ReturningFleet(profile=FEW_READERS if few_readers else LEASED)
        self.store = self.fleet.store
        self.version, self.asked = 12, False
        self.entries: dict[str, dict[str, Any]] = {}
        self.comers = 0
        self.copy: StoreSnapshot | None = None
        self.wrong: list[str] = []
        """What nodes believed between a return and the first write after it."""

    async def begin(self) -> None:
        self.store.put("op/config", configuration(self.version))
        for _ in range(3):
            self.come()
        for _ in range(3):
            self.fleet.start_node()
        await self.fleet.run(4.0)
        self.copy = self.store.snapshot()

    def come(self) -> None:
        self.comers += 1
        name = f"i-{self.comers}"
        self.entries[name] = {"number": self.comers, "State": "ready", "born": self.comers}
        self.put(name)

    def put(self, name: str) -> None:
        self.store.put(f"servers/{name}", entry(**self.entries[name]))

    def edit(self) -> None:
        self.version += 3
        self.store.put("op/config", configuration(self.version))

    def ask(self, asked: bool) -> None:
        self.asked = asked
        if asked:
            self.store.put("op/evacuate/howrah", b"{}")
        elif "op/evacuate/howrah" in self.store._items:
            self.store.remove("op/evacuate/howrah")

    def leave(self) -> None:
        for name in list(self.entries)[:1]:
            del self.entries[name]
            self.store.remove(f"servers/{name}")

    def drain(self) -> None:
        for name in list(self.entries)[:1]:
            self.entries[name]["State"] = "draining"
            self.put(name)

    async def come_back(self) -> None:
        assert self.copy is not None
        cut = [node.calls.cut for node in self.fleet.nodes]
        for node in self.fleet.nodes:
            node.calls.cut = True
        await self.fleet.run(0.3)
        before = {node.name: set(node.ready) for node in self.fleet.nodes}
        left = {node.name: node.once_ready - before[node.name] for node in self.fleet.nodes}
        evacuated = {node.name: node.evacuated for node in self.fleet.nodes}
        hear_each_other = not self.fleet.dark and not any(cut)
        was_over = hear_each_other and not self.asked and self.has_seen_end()
        self.store.restore_from(self.copy)
        for node, was_cut in zip(self.fleet.nodes, cut, strict=True):
            node.calls.cut = was_cut
        await self.fleet.run(WRITTEN_AGAIN / 2)
        for node in self.fleet.nodes:
            self.look_at(node, before[node.name], self.known_to(node, left))
            if self.asked and not evacuated[node.name] <= node.evacuated:
                self.wrong.append(f"{node.name}: evacuates {set(node.evacuated)}")
            if was_over and node.evacuated:
                self.wrong.append(f"{node.name}: evacuates {set(node.evacuated)} again")
        self.ask(self.asked)
        await self.fleet.run(WRITTEN_AGAIN / 4)
        self.store.put("op/config", configuration(self.version))
        await self.fleet.run(WRITTEN_AGAIN / 4)
        for name in self.entries:
            self.put(name)
        for key in list(self.store._items):
            name = key.removeprefix("servers/")
            if name != key and name not in self.entries:
                self.store.remove(key)
        self.copy = self.store.snapshot()

    def has_seen_end(self) -> bool:
        """Tell whether no node evacuates, and most have seen an evacuation end."""
        nodes = self.fleet.nodes
        seen = [node for node in nodes if node.core.replication._ended_evacuations.ended]
        return not any(node.evacuated for node in nodes) and 2 * len(seen) > len(nodes)

    def known_to(self, node: FleetNode, left: dict[str, set[str]]) -> set[str]:
        """Return who is known to have left: by the node, or by peers that it has heard to serve."""
        dark = self.fleet.dark
        hears_peers = node.serving and node.name not in dark
        peers = left.keys() - dark if hears_peers else set()
        told = set().union(*(left[name] for name in peers)) - self.alive()
        return left[node.name] | told

    def alive(self) -> set[str]:
        return {name for name, fields in self.entries.items() if fields["State"] == "ready"}

    def look_at(self, node: FleetNode, before: set[str], left: set[str]) -> None:
        """Note who came back by the copy's word alone, and who was dropped for want of it."""
        ready = set(node.ready)
        came_back = (ready - before) & left
        dropped = (before & self.alive()) - ready
        if came_back or dropped:
            self.wrong.append(f"{node.name}: came back {came_back}, dropped {dropped}")

    async def act(self, step: str) -> None:
        if step == "return":
            await self.come_back()
            return
        acts: dict[str, Callable[[], object]] = {
            "edit": self.edit,
            "ask": lambda: self.ask(True),
            "take-back": lambda: self.ask(False),
            "come": self.come,
            "beat": self.beat,
            "leave": self.leave,
            "drain": self.drain,
            "copy": self.take_copy,
            "cut": lambda: self.cut_first(True),
            "heal": lambda: self.cut_first(False),
            "dark": lambda: self.fleet.dark.add(self.fleet.nodes[-1].name),
            "light": self.fleet.dark.clear,
            "start": self.start_node,
            "stop": self.stop_node,
        }
        acts[step]()

    def beat(self) -> None:
        for _ in range(20):
            for name in self.entries:
                self.put(name)

    def take_copy(self) -> None:
        self.copy = self.store.snapshot()

    def cut_first(self, cut: bool) -> None:
        self.fleet.nodes[0].calls.cut = cut

    def start_node(self) -> None:
        if len(self.fleet.nodes) < 5:
            self.fleet.start_node()

    def stop_node(self) -> None:
        if len(self.fleet.nodes) > 3:
            self.fleet.nodes.pop(0)

    def heal(self) -> None:
        self.fleet.dark = set()
        for node in self.fleet.nodes:
            node.calls.cut = False


class ReturnsInSeriesTest(unittest.TestCase):
    def check_order(self, node: FleetNode) -> None:
        self.assertEqual(node.versions, sorted(node.versions), node.name)
        self.assertEqual(node.list_numbers, sorted(node.list_numbers), node.name)

    async def play(self, steps: list[str], few_readers: bool) -> None:
        world = World(few_readers)
        await world.begin()
        for step in steps:
            await world.act(step)
            await world.fleet.run(1.0)
            for node in world.fleet.nodes:
                self.check_order(node)
        self.assertEqual(world.wrong, [])
        world.heal()
        await world.fleet.run(ENOUGH)
        ready = sorted(name for name, fields in world.entries.items() if fields["State"] == "ready")
        for node in world.fleet.nodes:
            self.check_order(node)
            self.assertTrue(node.serving)
            self.assertEqual(node.version, world.version)
            self.assertEqual(node.evacuated, {"howrah"} if world.asked else set())
            self.assertEqual(node.ready, ready)
            self.assertEqual(node.core.replication.era, world.store.era)

    @settings(
        max_examples=40,
        deadline=None,
        derandomize=True,
        suppress_health_check=[HealthCheck.too_slow],
    )
    @given(STEPS, st.booleans())
    @example(["start", "come", "return", "beat", "leave", "start", "heal", "return"], True)
    @example(["return", "leave", "start", "leave", "start", "drain", "return", "start"], True)
    @example(["ask", "copy", "take-back", "start", "edit", "edit", "return"], True)
    @example(["ask", "copy", "take-back", "start", "return"], False)
    @example(["ask", "return", "start", "take-back", "return", "take-back", "start"], True)
    @example(["leave", "start", "cut", "come", "leave", "leave", "return", "leave"], False)
    def test_nothing_goes_back_and_all_come_to_believe_the_same(
        self, steps: list[str], few_readers: bool
    ) -> None:
        asyncio.run(self.play(steps, few_readers))
