"""Nodes accept, serve and transfer the largest configurations that the store allows."""

import json
import unittest
from typing import Any

from pewtertack.core.configuration.memory import ValidationCache
from pewtertack.core.configuration.resolution import resolve_document
from pewtertack.core.configuration.structure import GUARANTEED_DOCUMENT_BYTES
from pewtertack.core.configuration.validation import check_document
from pewtertack.core.revision import Document, revision_id_of
from pewtertack.platform.documents import parse_configuration
from pewtertack.routing.table import RouteTable
from pewtertack.wire.frames import Envelope, FrameReader, encode_frame
from pewtertack.wire.messages import DocumentKind, SnapshotAnswer
from pewtertack.wire.packing import pack, unpack
from tests.platform.test_documents import CONFIGURATION, ROUTE

VALUE_BYTES = GUARANTEED_DOCUMENT_BYTES
"""Size limit of a value in the store."""
KEY = b"k" * 32
REQUIRED_FIELDS = ("Name", "Host", "PathPrefix", "Kind", "Timeout", "Service")


def typical_route(number: int) -> dict[str, Any]:
    return {**ROUTE, "Name": f"r-{number:06d}", "PathPrefix": f"/{number:08d}/"}


def short_route(number: int) -> dict[str, Any]:
    route = {**ROUTE, "Name": f"{number:x}", "PathPrefix": f"/{number:x}/", "Host": "a"}
    return {key: route[key] for key in REQUIRED_FIELDS} | {"Timeout": "1s"}


def encoded(routes: list[dict[str, Any]]) -> bytes:
    configuration = {**CONFIGURATION, "Routes": routes}
    return json.dumps(configuration, separators=(",", ":")).encode()


def largest_configuration(route_of: Any) -> bytes:
    """Return the longest configuration of such routes that fits into a value of the store."""
    available_bytes = VALUE_BYTES - len(encoded([]))
    route_bytes = len(encoded([route_of(0xFFFFF)])) - len(encoded([])) + 1
    return encoded([route_of(number) for number in range(available_bytes // route_bytes)])


class LargestConfigurationTest(unittest.TestCase):
    def trees(self) -> list[Document]:
        values = [largest_configuration(typical_route), largest_configuration(short_route)]
        self.assertTrue(all(0.9 * VALUE_BYTES < len(value) <= VALUE_BYTES for value in values))
        return [parse_configuration(value)[1] for value in values]

    def test_largest_configuration_is_valid(self) -> None:
        for tree in self.trees():
            with self.subTest(routes=len(tree["routes"])):
                self.assertGreater(len(tree["routes"]), 5_000)
                self.assertEqual(check_document(tree), ())

    def test_configuration_that_grows_to_the_limit_by_edits_is_valid(self) -> None:
        for tree in self.trees():
            names = list(tree["routes"])
            cache = ValidationCache()
            for count in (len(names) // 2, len(names) - 1, len(names)):
                routes = {name: tree["routes"][name] for name in names[:count]}
                self.assertEqual(check_document({**tree, "routes": routes}, cache), ())

    def test_all_routes_are_served(self) -> None:
        for tree in self.trees():
            resolved = resolve_document(tree, revision_id_of(1, tree), "garia")
            table = RouteTable(resolved)
            for name, route in list(tree["routes"].items())[::997]:
                found = table.match(route["hosts"][0], route["path_prefix"] + "/x", "GET")
                self.assertEqual(found.name, name)

    def test_snapshot_reaches_a_peer(self) -> None:
        for tree in self.trees():
            answer = SnapshotAnswer(DocumentKind.CONFIGURATION, revision_id_of(1, tree), dict(tree))
            packed = pack(answer)
            assert packed is not None
            for message in (answer, packed):
                frame = encode_frame(Envelope("a", "127.0.0.1:1", 1, 1, message), KEY)
                self.assertEqual(FrameReader(KEY).read(frame).message, message)
            self.assertEqual(unpack(packed), answer)
