"""The caches of an accepted tree reduce the cost of the next one and never change the result."""

import copy
import time
import tracemalloc
import unittest
from collections.abc import Callable
from random import Random
from typing import Any
from unittest import mock

import msgspec

from pewtertack.core.configuration.memory import ResolvedRouteCache, ValidationCache
from pewtertack.core.configuration.resolution import resolve_checked
from pewtertack.core.configuration.scopes import Scope
from pewtertack.core.configuration.structure import estimated_bytes
from pewtertack.core.configuration.validation import check_document
from pewtertack.core.profile import Mechanisms
from pewtertack.core.replication.replica import ConfigurationReplica
from pewtertack.core.replication.store import DocumentStore
from pewtertack.core.revision import revision_id_of

ZONE = "yaba"
CACHED_BYTES_PER_ROUTE_MAX = 800
"""Memory of the caches for each idle route that is validated and resolved, besides the document.

1,459 bytes with all merged values, a mapping proxy for each empty table and a separate number for
each duration; 571 without them, or 682 if the test runs after the others.
"""
real_route_values = Scope.route_values


def tree(routes: int = 6) -> dict[str, Any]:
    return {
        "route_defaults": {"timeout": "2s"},
        "services": {"book": {}, "vault": {"route_defaults": {"retry_limit": 3}}},
        "routes": {f"r{n}": {"service": "book", "path_prefix": f"/{n}"} for n in range(routes)},
        "zones": {ZONE: {"routes": {"r1": {"timeout": "1s"}}}},
    }


def idle_route(number: int) -> dict[str, Any]:
    """Return a route like the thousands in the platform's configurations."""
    return {
        "service": "book",
        "hosts": [f"h{number % 7}.example"],
        "path_prefix": f"/p{number}",
        "timeout": "1500ms",
        "target_latency": "600ms",
        "priority": 2,
        "repeatable": number % 2 == 0,
        "retry_limit": 1,
        "split": {},
    }


def min_seconds_to_check_added(count: int) -> float:
    """Return the minimum processor time, in seconds, to validate ``count - 1`` added routes."""
    base: dict[str, Any] = {"services": {"book": {}}, "routes": {"first": idle_route(0)}}
    times = []
    for _ in range(5):
        cache = ValidationCache()
        assert not check_document(base, cache)
        added = {f"route-{n}": idle_route(n) for n in range(1, count)}
        document = {**base, "routes": {**base["routes"], **added}}
        started_at = time.process_time()
        assert not check_document(document, cache)
        times.append(time.process_time() - started_at)
    return min(times)


def edited(document: Any, random: Random) -> Any:
    """Return a copy with one random change, which may be invalid."""
    result = copy.deepcopy(document)
    name = f"r{random.randrange(8)}"
    changes: tuple[Callable[[], object], ...] = (
        lambda: result["routes"].setdefault(name, {}).update(service="vault"),
        lambda: result["routes"].setdefault(name, {}).update(service="nowhere"),
        lambda: result["routes"].setdefault(name, {}).update(timeout="-1s"),
        lambda: result["routes"].setdefault(name, {}).update(retry_limit=True),
        lambda: result["routes"].setdefault(name, {}).update(depth={"a": {"b": [float("nan")]}}),
        lambda: result["routes"].pop(name, None),
        lambda: (
            result["routes"]
            .setdefault(name, {})
            .update(service="book", path_prefix=f"/{random.randrange(8)}")
        ),
        lambda: (
            result["routes"]
            .setdefault(name, {})
            .update(hosts=random.choice([[], ["a.example"], ["A.example", "b.example"]]))
        ),
        lambda: result["route_defaults"].update(timeout=f"{random.randrange(1, 9)}s"),
        lambda: result["services"].update(vault={"route_defaults": {"retry_limit": 2}}),
        lambda: result["zones"][ZONE]["routes"].setdefault(name, {}).update(timeout="3s"),
        lambda: result["zones"][ZONE].update(delete=[f"routes.{name}"]),
        lambda: result["services"].pop("vault", None),
        lambda: result["zones"].update(lekki={"routes": {name: {"service": "nowhere"}}}),
        lambda: result["zones"].update(lekki={"routes": {name: {"retry_limit": 1}}}),
        lambda: result["zones"].pop("lekki", None),
        lambda: result.update(secrets={"token": "x"}),
        lambda: result["routes"].setdefault("r0", {}).update(header_secrets={"x-a": "token"}),
        lambda: result.pop("secrets", None),
    )
    random.choice(changes)()
    return result


class CachedValidationTest(unittest.TestCase):
    def test_findings_and_routes_are_the_same_as_without_caches(self) -> None:
        for seed in range(60):
            self.compare_with_uncached(seed, with_zones=True)

    def test_findings_and_routes_are_the_same_if_only_edited_routes_are_validated(self) -> None:
        accepted = sum(self.compare_with_uncached(seed, with_zones=False) for seed in range(150))
        self.assertGreater(accepted, 1000)

    def compare_with_uncached(self, seed: int, with_zones: bool) -> int:
        """Compare 24 random edits with and without caches; return the number of accepted ones."""
        random = Random(seed)
        accepted = 0
        store, cache, resolved = DocumentStore(), ValidationCache(), ResolvedRouteCache()
        document: Any = tree()
        for number in range(1, 25):
            changed = edited(document, random)
            if not with_zones:
                changed.pop("zones", None)
            shared = store.share_with_newest(changed)
            self.assertEqual(revision_id_of(1, shared), revision_id_of(1, changed))
            findings = check_document(shared, cache)
            self.assertEqual(findings, check_document(changed), f"seed {seed}, {number}")
            if findings:
                continue
            accepted += 1
            document = changed if with_zones else {**changed, "zones": {ZONE: {"routes": {}}}}
            revision = revision_id_of(number, changed)
            store.put(revision, shared)
            self.assertEqual(
                resolve_checked(shared, revision, ZONE, resolved),
                resolve_checked(changed, revision, ZONE),
                f"seed {seed}, {number}",
            )
        return accepted

    def test_an_accepted_table_at_an_invalid_location_is_rejected(self) -> None:
        cache = ValidationCache()
        document = tree()
        self.assertEqual(check_document(document, cache), ())
        moved = {**document, "services": {**document["services"], "r1": document["routes"]["r1"]}}
        self.assertNotEqual(check_document(moved, cache), ())

    def test_the_estimated_size_after_edits_is_that_of_the_whole_tree(self) -> None:
        for seed in range(40):
            random, cache, store = Random(seed), ValidationCache(), DocumentStore()
            document: Any = {key: value for key, value in tree().items() if key != "zones"}
            for number in range(1, 20):
                changed = edited({**document, "zones": {ZONE: {"routes": {}}}}, random)
                changed.pop("zones", None)
                shared = store.share_with_newest(changed)
                if not check_document(shared, cache):
                    document = changed
                    store.put(revision_id_of(number, changed), shared)
                    self.assertEqual(
                        cache.document_bytes, estimated_bytes(changed), f"seed {seed}, {number}"
                    )

    def test_the_estimated_size_counts_the_tables_of_zones_once(self) -> None:
        cache, document = ValidationCache(), tree()
        self.assertIn("zones", document)
        self.assertEqual(check_document(document, cache), ())
        self.assertEqual(cache.document_bytes, estimated_bytes(document))

    def test_validation_time_is_at_most_linear_in_the_number_of_added_routes(self) -> None:
        few, many = (min_seconds_to_check_added(count) for count in (400, 4800))
        self.assertLess(many, 2 * 12 * few)

    def test_the_memory_of_the_caches_for_each_route_is_bounded(self) -> None:
        route_count = 1400
        document = tree()
        document.pop("zones")
        document["routes"] = {f"route-{n}": idle_route(n) for n in range(route_count)}
        cache, resolved = ValidationCache(), ResolvedRouteCache()
        tracemalloc.start()
        try:
            self.assertEqual(check_document(document, cache), ())
            configuration = resolve_checked(document, revision_id_of(1, document), ZONE, resolved)
            cached_bytes, _ = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        self.assertEqual(len(configuration.routes), route_count)
        self.assertLessEqual(cached_bytes / route_count, CACHED_BYTES_PER_ROUTE_MAX)

    def test_decoded_tables_share_equal_values(self) -> None:
        document = tree()
        document.pop("zones")
        document["routes"] = {f"route-{n}": idle_route(n) for n in range(50)}
        encoded = msgspec.msgpack.encode(document)
        decoded = msgspec.msgpack.decode(encoded)
        cache = ValidationCache()
        self.assertEqual(check_document(decoded, cache), ())
        self.assertEqual(decoded, document)
        edited_document = {**decoded, "routes": {**decoded["routes"], "new": idle_route(52)}}
        self.assertEqual(check_document(edited_document, cache), ())
        for setting, different in (("timeout", 1), ("service", 1), ("hosts", 7), ("split", 1)):
            with self.subTest(setting):
                values = [route[setting] for route in edited_document["routes"].values()]
                self.assertEqual(len({id(value) for value in values}), different)

    def test_validation_without_a_cache_does_not_modify_the_document(self) -> None:
        decoded = msgspec.msgpack.decode(msgspec.msgpack.encode(tree()))
        before = {name: id(route["service"]) for name, route in decoded["routes"].items()}
        check_document(decoded)
        after = {name: id(route["service"]) for name, route in decoded["routes"].items()}
        self.assertEqual(before, after)

    def test_the_size_of_a_tree_that_grows_by_one_table_at_a_time_is_limited(self) -> None:
        cache = ValidationCache()
        big = {"hosts": ["x" * 4000] * 60}
        routes = {f"r{n}": {"service": "book", "path_prefix": f"/{n}", **big} for n in range(20)}
        document: dict[str, Any] = {"services": {"book": {}}, "routes": {}}
        rejections = []
        for name, table in routes.items():
            document = {**document, "routes": {**document["routes"], name: table}}
            rejections.append(bool(check_document(document, cache)))
            self.assertEqual(rejections[-1], bool(check_document(document)))
        self.assertIn(True, rejections)


class CostTest(unittest.TestCase):
    def test_an_edit_of_one_of_a_thousand_routes_validates_only_that_route(self) -> None:
        """A change of one of 1,600 routes takes 2.5 ms; full validation takes 23 ms."""
        cache, store = ValidationCache(), DocumentStore()
        document = {key: value for key, value in tree(routes=1000).items() if key != "zones"}
        check_document(document, cache)
        store.put(revision_id_of(1, document), document)
        edited_tree = copy.deepcopy(document)
        edited_tree["routes"]["r7"]["timeout"] = "4s"
        shared = store.share_with_newest(edited_tree)
        with mock.patch.object(
            Scope, "route_values", autospec=True, side_effect=real_route_values
        ) as merged:
            self.assertEqual(check_document(shared, cache), ())
        self.assertEqual([call.args[1] for call in merged.call_args_list], ["r7"])

    def test_an_edit_resolves_only_the_changed_route(self) -> None:
        replica = ConfigurationReplica(ZONE, Mechanisms())
        before = tree(routes=50)
        after = copy.deepcopy(before)
        after["routes"]["r7"]["timeout"] = "4s"
        resolved = []
        for number, document in enumerate((before, after), start=1):
            revision = revision_id_of(number, document)
            replica.offer(revision, document)
            replica.mark_committed(revision)
            configuration = replica.next_in_force()
            assert configuration is not None
            resolved.append({route.name: route for route in configuration.routes})
        old, new = resolved
        self.assertEqual([name for name in new if new[name] is not old[name]], ["r7"])

    def test_the_estimated_size_of_a_table_includes_keys_values_and_indexes(self) -> None:
        self.assertEqual(estimated_bytes({"a": "xy", "b": ["z"]}), 32 + 1 + 34 + 1 + 32 + 1 + 33)


if __name__ == "__main__":
    unittest.main()
