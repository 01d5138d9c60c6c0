"""Plans and settings of fleets whose back ends are reached through gateways."""

import tomllib
import unittest
from dataclasses import replace

from pewtertack.core.machines import machine_list_from_document
from pewtertack.lab.errors import LabUsageError
from pewtertack.lab.fleet.plan import FleetShape, plan_fleet
from pewtertack.lab.fleet.settings import node_settings

SHAPE = FleetShape(
    zones=("ikeja", "yaba"),
    services={"logbook": 3},
    tree={},
    has_gateways=True,
    limits={"drain_notice": "600ms"},
    policies={"long_bodies": "in-turns"},
    link_mbps=8.0,
)


class GatewayPlanTest(unittest.TestCase):
    def test_every_back_end_has_its_own_gateway_node_in_its_zone(self) -> None:
        plan = plan_fleet(SHAPE)
        gateway_nodes = [plan.nodes[backend.gateway_node] for backend in plan.backends.values()]
        self.assertEqual(len({node.name for node in gateway_nodes}), 3)
        listed = {
            machine.name: machine
            for machine in machine_list_from_document(1, plan.machine_list()).machines
        }
        for backend, node in zip(plan.backends.values(), gateway_nodes, strict=True):
            self.assertEqual(backend.zone, node.zone)
            self.assertEqual(listed[backend.name].gateway, str(node.gateway))
            self.assertEqual(listed[backend.name].slots, SHAPE.capacity.slots)

    def test_settings_contain_gateway_back_end_limits_and_link_rate(self) -> None:
        plan = plan_fleet(SHAPE)
        nodes_without_backend = 0
        for node in plan.nodes.values():
            settings = tomllib.loads(node_settings(plan, node))
            self.assertEqual(settings["limits"], SHAPE.limits)
            self.assertEqual(settings["policies"], SHAPE.policies)
            self.assertEqual(settings["node"]["link_mbps"], 8.0)
            backend = plan.local_backend(node.name)
            if backend is None:
                nodes_without_backend += 1
                self.assertNotIn("backend", settings)
                continue
            self.assertEqual(settings["listen"]["gateway"], str(node.gateway))
            self.assertEqual(
                settings["backend"], {"address": str(backend.address), "service": "logbook"}
            )
        self.assertEqual(nodes_without_backend, 1)

    def test_settings_omit_what_the_shape_does_not_set(self) -> None:
        plan = plan_fleet(replace(SHAPE, limits={}, policies={}, link_mbps=0.0))
        for node in plan.nodes.values():
            settings = tomllib.loads(node_settings(plan, node))
            self.assertNotIn("link_mbps", settings["node"])
            self.assertFalse({"limits", "policies"} & settings.keys())

    def test_more_back_ends_than_nodes_in_a_zone_are_rejected(self) -> None:
        with self.assertRaises(LabUsageError):
            plan_fleet(replace(SHAPE, nodes_per_zone=1))
