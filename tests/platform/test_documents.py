"""Conversion of the operator's configuration and of back-end entries."""

import json
import unittest
from typing import Any

from pewtertack.core.configuration.resolution import resolve_document
from pewtertack.core.configuration.validation import check_document
from pewtertack.core.items import ItemFormatError
from pewtertack.core.machines import MachineRole, MachineState, machine_list_from_document
from pewtertack.core.revision import revision_id_of
from pewtertack.platform.documents import RouteCache, parse_configuration
from pewtertack.platform.entries import parse_entries

ROUTE = {
    "Name": "r-1",
    "Host": "desk.example",
    "PathPrefix": "/holds/",
    "Kind": "unsafe",
    "Timeout": "1200ms",
    "TargetLatency": "800ms",
    "Priority": 1,
    "Service": "desk",
    "MaxAttempts": 2,
}
SPLIT_ROUTE = {
    **{key: value for key, value in ROUTE.items() if key != "Service"},
    "Name": "r-2",
    "PathPrefix": "/reads/",
    "Kind": "safe",
    "TrafficSplit": [{"Service": "desk", "Weight": 90}, {"Service": "vault", "Weight": 10}],
}
CONFIGURATION: dict[str, Any] = {
    "Version": "r12",
    "Routes": [ROUTE, SPLIT_ROUTE],
    "Services": [
        {"Name": "desk", "HealthPath": "/health", "ConnectionLimit": 130},
        {"Name": "vault", "HealthPath": "/health", "ConnectionLimit": 130},
    ],
    "Limits": {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 67108864,
        "HeaderTimeout": "3000ms",
        "IdleTimeout": "15000ms",
    },
}
ENTRY = {
    "Service": "desk",
    "Address": "10.1.0.8:8080",
    "Zone": "garia",
    "Version": "v1",
    "State": "ready",
    "Slots": 6,
    "ColdRemaining": "0ms",
    "Sequence": 4,
}


def encoded(value: Any) -> bytes:
    return json.dumps(value).encode()


class TreeTest(unittest.TestCase):
    def test_configuration_becomes_a_valid_tree(self) -> None:
        number, tree = parse_configuration(encoded(CONFIGURATION))
        self.assertEqual(number, 12)
        self.assertEqual(check_document(tree), ())
        resolved = resolve_document(tree, revision_id_of(number, tree), "garia")
        hold, read = sorted(resolved.routes, key=lambda route: route.name)
        self.assertEqual((hold.service, hold.timeout, hold.objective), ("desk", 1.2, 0.8))
        self.assertEqual((hold.repeatable, hold.retry_limit, hold.priority), (False, 1, 1))
        self.assertEqual((read.repeatable, dict(read.split)), (True, {"desk": 90, "vault": 10}))

    def test_safe_and_download_routes_are_repeatable(self) -> None:
        kinds = {"safe": True, "download": True, "unsafe": False, "upload": False, "Safe": False}
        for kind, repeatable in kinds.items():
            _, tree = parse_configuration(
                encoded({**CONFIGURATION, "Routes": [{**ROUTE, "Kind": kind}]})
            )
            self.assertEqual(tree["routes"]["r-1"]["repeatable"], repeatable, kind)

    def test_invalid_configuration_is_rejected(self) -> None:
        broken = [
            encoded(CONFIGURATION)[:-20],
            encoded({**CONFIGURATION, "Version": "twelve"}),
            encoded({**CONFIGURATION, "Routes": [{"Name": "r-1"}]}),
            encoded({key: CONFIGURATION[key] for key in ("Version", "Routes", "Services")}),
            b"[]",
        ]
        for value in broken:
            with self.subTest(value[:40]), self.assertRaises(ItemFormatError):
                parse_configuration(value)

    def test_unchanged_routes_reuse_their_tables(self) -> None:
        cache = RouteCache()
        _, before = parse_configuration(encoded(CONFIGURATION), (), cache)
        changed_route = {**ROUTE, "Timeout": "900ms"}
        value = encoded({**CONFIGURATION, "Version": "r13", "Routes": [changed_route, SPLIT_ROUTE]})
        number, after = parse_configuration(value, (), cache)
        self.assertEqual((number, after), parse_configuration(value))
        self.assertIs(after["routes"]["r-2"], before["routes"]["r-2"])
        self.assertEqual(after["routes"]["r-1"]["timeout"], "900ms")
        with_duplicate = encoded({**CONFIGURATION, "Routes": [SPLIT_ROUTE, ROUTE, SPLIT_ROUTE]})
        self.assertEqual(
            parse_configuration(with_duplicate, (), cache), parse_configuration(with_duplicate)
        )

    def test_invalid_route_does_not_corrupt_the_cache(self) -> None:
        cache = RouteCache()
        _, before = parse_configuration(encoded(CONFIGURATION), (), cache)
        with self.assertRaises(ItemFormatError):
            parse_configuration(
                encoded({**CONFIGURATION, "Routes": [SPLIT_ROUTE, {"Name": "x"}]}), (), cache
            )
        self.assertEqual(parse_configuration(encoded(CONFIGURATION), (), cache)[1], before)

    def test_route_to_unknown_service_is_a_validation_finding(self) -> None:
        route = {**ROUTE, "Service": "nobody"}
        _, tree = parse_configuration(encoded({**CONFIGURATION, "Routes": [route]}))
        self.assertEqual([item.code.label for item in check_document(tree)], ["missing-service"])


class MachinesTest(unittest.TestCase):
    def test_entry_becomes_a_back_end_and_the_node_of_its_machine(self) -> None:
        document, _ = parse_entries({"i-1": encoded(ENTRY)}, 8146, 7380)
        machines = machine_list_from_document(3, document).machines
        node, backend = sorted(machines, key=lambda machine: machine.role, reverse=True)
        self.assertEqual((node.role, node.name), (MachineRole.NODE, "10.1.0.8"))
        self.assertEqual(node.address, "10.1.0.8:7380")
        self.assertEqual((backend.name, backend.gateway), ("i-1", "10.1.0.8:8146"))
        self.assertEqual((backend.slots, backend.state), (6, MachineState.LIVE))

    def test_draining_back_end_is_leaving(self) -> None:
        document, _ = parse_entries({"i-1": encoded({**ENTRY, "State": "draining"})}, 1, 2)
        self.assertEqual(document["i-1"]["state"], "leaving")

    def test_start_time_is_optional(self) -> None:
        document, _ = parse_entries({"i-1": encoded(ENTRY)}, 1, 2)
        self.assertNotIn("started_at", document["i-1"])
        document, _ = parse_entries({"i-1": encoded({**ENTRY, "born": 1_700_000_000_000})}, 1, 2)
        machine = machine_list_from_document(3, {"i-1": document["i-1"]}).machines[0]
        self.assertEqual(machine.started_at, 1_700_000_000_000)

    def test_entry_with_invalid_start_time_is_skipped(self) -> None:
        for born in (None, "1700000000000", 1.5, -1, True, 2**60, [5]):
            with self.subTest(born=born):
                document, findings = parse_entries({"i-1": encoded({**ENTRY, "born": born})}, 1, 2)
                self.assertEqual((document, len(findings)), ({}, 1))

    def test_invalid_entry_is_a_finding_with_its_name(self) -> None:
        document, findings = parse_entries({"i-1": b'{"Service": "desk"}'}, 1, 2)
        self.assertEqual(document, {})
        self.assertEqual([item.item for item in findings], ["i-1"])
