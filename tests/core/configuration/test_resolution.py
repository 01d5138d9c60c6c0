"""Resolution in every zone: more specific levels override others, and deletions apply."""

import unittest
from collections import Counter
from collections.abc import Mapping
from typing import Any

from hypothesis import assume, given
from hypothesis import strategies as st

from pewtertack.core.configuration.explanation import explain, explain_service
from pewtertack.core.configuration.findings import (
    TreeRejectedError,
    UnknownRouteError,
    UnknownServiceError,
)
from pewtertack.core.configuration.model import ROUTE_SETTINGS
from pewtertack.core.configuration.resolution import resolve_document
from pewtertack.core.configuration.resolved import ResolvedConfiguration, ResolvedRoute, WorkClass
from pewtertack.core.configuration.scopes import Level, Scope, merge
from pewtertack.core.configuration.validation import check_document
from pewtertack.core.revision import NO_REVISION
from tests.core.configuration.trees import PROPERTY, VALID_TREE, with_value

ZONES = ("yaba", "lekki", "unnamed")

# Paths of the tables that set values of routes.records, whose service is services.archive, in
# zone yaba by level, the least specific first.
ROUTE_LEVEL_PATHS = {
    Level.ROOT_DEFAULTS: "route_defaults",
    Level.ZONE_DEFAULTS: "zones.yaba.route_defaults",
    Level.SERVICE: "services.archive.route_defaults",
    Level.ZONE_SERVICE: "zones.yaba.services.archive.route_defaults",
    Level.ROUTE: "routes.records",
    Level.ZONE_ROUTE: "zones.yaba.routes.records",
}
SERVICE_LEVEL_PATHS = {
    Level.ROOT_DEFAULTS: "service_defaults",
    Level.ZONE_DEFAULTS: "zones.yaba.service_defaults",
    Level.SERVICE: "services.archive",
    Level.ZONE_SERVICE: "zones.yaba.services.archive",
}
Tree = Mapping[str, Any]
BUILT_IN_QUEUE_LIMIT = 32
BUILT_IN_EJECTION_FAILURES = 5


def resolve(document: Tree, zone: str) -> ResolvedConfiguration:
    return resolve_document(document, NO_REVISION, zone)


def route_of(document: Tree, zone: str, name: str = "records") -> ResolvedRoute:
    return {route.name: route for route in resolve(document, zone).routes}[name]


def names(prefix: str, count: int) -> st.SearchStrategy[str]:
    return st.sampled_from([f"{prefix}{number}" for number in range(count)])


def tables(keys: st.SearchStrategy[str], values: st.SearchStrategy[Any]) -> st.SearchStrategy[Tree]:
    return st.dictionaries(keys, values, max_size=3)


ROUTE_DEFAULTS = st.fixed_dictionaries(
    {},
    optional={
        "timeout": st.sampled_from(["1s", "2500ms", "1m"]),
        "class": st.sampled_from([work_class.value for work_class in WorkClass]),
        "header_secrets": tables(st.just("x-key"), names("k", 2)),
    },
)
SERVICE = st.fixed_dictionaries({}, optional={"route_defaults": ROUTE_DEFAULTS})


def routes(path: str) -> st.SearchStrategy[Tree]:
    """Return complete routes at ``path``, or in one of ten cases at a path that others share."""
    return st.builds(
        lambda defaults, service, path: {**defaults, "service": service, "path_prefix": path},
        ROUTE_DEFAULTS,
        names("s", 2),
        st.sampled_from([path] * 9 + ["/shared"]),
    )


TARGETS = st.sampled_from(
    ["routes.r0", "routes.r1", "services.s0", "secrets.k0", "routes.r2.service", "services.none"]
)
ZONE = st.fixed_dictionaries(
    {},
    optional={
        "route_defaults": ROUTE_DEFAULTS,
        "services": tables(names("s", 3), SERVICE),
        "routes": tables(names("r", 4), ROUTE_DEFAULTS | routes("/zone")),
        "delete": st.lists(TARGETS, max_size=2, unique=True),
    },
)
TREES = st.fixed_dictionaries(
    {
        "services": st.fixed_dictionaries({"s0": SERVICE, "s1": SERVICE}),
        "secrets": st.just({"k0": "x", "k1": "y"}),
        "routes": st.fixed_dictionaries({f"r{n}": routes(f"/r{n}") for n in range(3)}),
        "zones": st.dictionaries(st.sampled_from(ZONES[:2]), ZONE, max_size=2),
    },
    optional={"route_defaults": ROUTE_DEFAULTS},
)


class PropertyTest(unittest.TestCase):
    def test_a_valid_tree_resolves_completely_and_any_other_is_rejected(self) -> None:
        validity_counts: Counter[bool] = Counter()

        @PROPERTY
        @given(TREES)
        def check_tree(document: Tree) -> None:
            valid = not check_document(document)
            validity_counts[valid] += 1
            if valid:
                self.check_references_in_every_zone(document)
            else:
                self.assertRaises(TreeRejectedError, resolve, document, "yaba")

        check_tree()
        self.assertGreater(min(validity_counts[True], validity_counts[False]), 30, validity_counts)

    def check_references_in_every_zone(self, document: Tree) -> None:
        for zone in ZONES:
            resolved = resolve(document, zone)
            for route in resolved.routes:
                self.assertIn(route.service, resolved.services)
                self.assertLessEqual(set(route.header_secrets.values()), set(resolved.secrets))

    @PROPERTY
    @given(TREES)
    def test_explanation_agrees_with_resolution(self, document: Tree) -> None:
        assume(not check_document(document))
        for zone in ZONES:
            scope = Scope(document, zone)
            for name in scope.route_names():
                explained = explain(document, zone, name)
                winners = {value.setting: value.winner.value for value in explained}
                self.assertEqual(merge(scope.route_layers(name)), winners)
                self.assertEqual(scope.route_values(name), winners)

    @PROPERTY
    @given(st.dictionaries(st.sampled_from(list(ROUTE_LEVEL_PATHS)), st.integers(0, 9)))
    def test_the_most_specific_level_of_a_route_wins(self, limits: dict[Level, int]) -> None:
        document = VALID_TREE
        for level, limit in limits.items():
            document = with_value(document, f"{ROUTE_LEVEL_PATHS[level]}.queue_limit", limit)
        expected = [limits[level] for level in ROUTE_LEVEL_PATHS if level in limits]
        winner = expected[-1] if expected else BUILT_IN_QUEUE_LIMIT
        self.assertEqual(winner, route_of(document, "yaba").queue_limit)

    @PROPERTY
    @given(st.dictionaries(st.sampled_from(list(SERVICE_LEVEL_PATHS)), st.integers(1, 9)))
    def test_the_most_specific_level_of_a_service_wins(self, failures: dict[Level, int]) -> None:
        document = VALID_TREE
        for level, failure_count in failures.items():
            path = f"{SERVICE_LEVEL_PATHS[level]}.ejection_failures"
            document = with_value(document, path, failure_count)
        expected = [failures[level] for level in SERVICE_LEVEL_PATHS if level in failures]
        winner = expected[-1] if expected else BUILT_IN_EJECTION_FAILURES
        service = resolve(document, "yaba").services["archive"]
        self.assertEqual(winner, service.ejection_failures)


class DeletionTest(unittest.TestCase):
    def test_a_route_service_or_secret_is_deleted_only_in_its_zone(self) -> None:
        targets = ["routes.records", "services.archive", "secrets.spare"]
        document = with_value(VALID_TREE, "zones.yaba.delete", targets)
        yaba, lekki = resolve(document, "yaba"), resolve(document, "lekki")
        self.assertEqual(["lookup"], [route.name for route in yaba.routes])
        self.assertEqual(({"logbook"}, {"token"}), (set(yaba.services), set(yaba.secrets)))
        self.assertEqual((2, 2, 2), (len(lekki.routes), len(lekki.services), len(lekki.secrets)))

    def test_deleting_a_value_falls_back_to_the_next_level(self) -> None:
        document = with_value(VALID_TREE, "routes.records.timeout", "1s")
        for targets, timeout in [
            ([], 1.0),
            (["routes.records.timeout"], 9.0),
            (["routes.records.timeout", "services.archive.route_defaults"], 10.0),
        ]:
            changed = with_value(document, "zones.yaba.delete", targets)
            self.assertEqual(timeout, route_of(changed, "yaba").timeout)
            self.assertEqual(1.0, route_of(changed, "lekki").timeout)

    def test_a_route_and_one_of_its_values_may_be_deleted_in_either_order(self) -> None:
        targets = ["routes.records", "routes.records.path_prefix"]
        for order in (targets, targets[::-1]):
            document = with_value(VALID_TREE, "zones.yaba.delete", order)
            self.assertEqual(["lookup"], Scope(document, "yaba").route_names())
            self.assertEqual(["lookup", "records"], Scope(document, "lekki").route_names())

    def test_a_zone_may_delete_a_route_and_define_it_again(self) -> None:
        document = with_value(VALID_TREE, "zones.yaba.delete", ["routes.lookup"])
        new = {"service": "archive", "path_prefix": "/new"}
        document = with_value(document, "zones.yaba.routes.lookup", new)
        route = route_of(document, "yaba", "lookup")
        self.assertEqual(
            ("archive", "/new", {}), (route.service, route.path_prefix, route.header_secrets)
        )

    def test_a_single_header_of_a_route_may_be_deleted(self) -> None:
        targets = ["routes.lookup.header_secrets.x-token"]
        document = with_value(VALID_TREE, "zones.yaba.delete", targets)
        self.assertEqual({}, route_of(document, "yaba", "lookup").header_secrets)
        self.assertEqual({"x-token": "token"}, route_of(document, "lekki", "lookup").header_secrets)


class ResolvedValuesTest(unittest.TestCase):
    def test_values_are_converted_to_their_resolved_types(self) -> None:
        settings = {"timeout": "1.5s", "hosts": ["A.Example"], "class": "bulk", "retry_budget": 1}
        document = VALID_TREE
        for setting, value in settings.items():
            document = with_value(document, f"routes.records.{setting}", value)
        route = route_of(document, "yaba")
        self.assertEqual((1.5, ("a.example",)), (route.timeout, route.hosts))
        self.assertIs(WorkClass.BULK, route.work_class)
        self.assertIsInstance(route.retry_budget, float)

    def test_resolved_tables_are_immutable(self) -> None:
        resolved = resolve(VALID_TREE, "yaba")
        tables: tuple[Any, ...] = (
            resolved.services,
            resolved.secrets,
            resolved.routes[0].header_secrets,
        )
        for table in tables:
            with self.assertRaises(TypeError):
                table["x"] = "y"


class ExplanationTest(unittest.TestCase):
    def test_winner_losers_and_deleted_values_have_level_and_path(self) -> None:
        document = with_value(VALID_TREE, "routes.records.timeout", "1s")
        document = with_value(document, "zones.yaba.delete", ["routes.records.timeout"])
        explained = {value.setting: value for value in explain(document, "yaba", "records")}
        timeout = explained["timeout"]
        self.assertEqual(list(ROUTE_SETTINGS), list(explained))
        self.assertEqual((Level.SERVICE, "9s"), (timeout.winner.level, timeout.winner.value))
        path = ("services", "archive", "route_defaults", "timeout")
        self.assertEqual(path, timeout.winner.path)
        losers = [(loser.level, loser.value, loser.deleted) for loser in timeout.losers]
        built_in = (Level.BUILT_IN, "10s", False)
        self.assertEqual([(Level.ROUTE, "1s", True), built_in], losers)

    def test_explaining_a_missing_route_or_service_is_an_error(self) -> None:
        with self.assertRaises(UnknownRouteError):
            explain(VALID_TREE, "yaba", "none")
        with self.assertRaises(UnknownServiceError):
            explain_service(VALID_TREE, "yaba", "none")


if __name__ == "__main__":
    unittest.main()
