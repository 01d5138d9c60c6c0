"""Route matching."""

import unittest

from pewtertack.routing.outcomes import MethodNotAllowedError, RouteNotFoundError
from pewtertack.routing.table import RouteTable
from tests.routing.samples import configuration, route


class RouteTableTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = RouteTable(
            configuration(
                route("any", path_prefix="/"),
                route("logs", path_prefix="/logs"),
                route("upload", path_prefix="/logs", methods=("POST",)),
                route("contest", path_prefix="/logs/contest/", methods=("GET",)),
                route("rig", hosts=("rig.example",), path_prefix="/logs"),
            )
        )

    def assert_route(self, name: str, host: str, path: str, method: str = "GET") -> None:
        self.assertEqual(self.table.match(host, path, method).name, name)

    def test_the_longest_prefix_at_a_segment_boundary_wins(self) -> None:
        self.assert_route("logs", "x", "/logs/2026")
        self.assert_route("any", "x", "/logs2")
        self.assert_route("contest", "x", "/logs/contest")
        self.assert_route("contest", "x", "/logs/contest/a//b/")

    def test_a_named_method_precedes_every_method(self) -> None:
        self.assert_route("upload", "x", "/logs", "POST")
        self.assert_route("upload", "x", "/logs/contest", "POST")

    def test_method_precedence_does_not_depend_on_route_names(self) -> None:
        for by_method, any_method in (("a", "b"), ("b", "a")):
            table = RouteTable(configuration(route(by_method, methods=("PUT",)), route(any_method)))
            self.assertEqual(table.match("x", "/", "PUT").name, by_method)
            self.assertEqual(table.match("x", "/", "GET").name, any_method)

    def test_a_named_host_precedes_every_host(self) -> None:
        self.assert_route("rig", "rig.example", "/logs/contest")
        self.assert_route("any", "rig.example", "/")

    def test_no_match_is_distinguished_from_a_wrong_method(self) -> None:
        table = RouteTable(configuration(route(path_prefix="/a", methods=("GET",))))
        with self.assertRaises(MethodNotAllowedError):
            table.match("x", "/a/b", "PUT")
        with self.assertRaises(RouteNotFoundError):
            table.match("x", "/b", "GET")

    def test_a_percent_encoded_prefix_matches_the_decoded_path(self) -> None:
        paths = {"/a%20b": "/a b/x", "/%C3%BC": "/\u00fc/x", "/%2E%2E": "/../x", "/a/%2F": "/a//x"}
        for prefix, path in paths.items():
            with self.subTest(prefix):
                table = RouteTable(configuration(route("own", path_prefix=prefix), route("any")))
                self.assertEqual(table.match("x", path, "GET").name, "own")
                self.assertEqual(table.match("x", "/a/x", "GET").name, "any")
