"""Comparison of resolved configurations."""

import unittest
from collections.abc import Mapping
from typing import Any

from pewtertack.core.configuration.changes import MASKED, Change, ChangeKind, compare_resolved
from pewtertack.core.configuration.model import Section
from pewtertack.core.configuration.resolution import resolve_document
from pewtertack.core.revision import NO_REVISION
from tests.core.configuration.trees import VALID_TREE, with_value


def changes(new: Mapping[str, Any], zone: str = "yaba") -> tuple[Change, ...]:
    return compare_resolved(
        resolve_document(VALID_TREE, NO_REVISION, zone), resolve_document(new, NO_REVISION, zone)
    )


class CompareResolvedTest(unittest.TestCase):
    def test_equal_trees_have_no_changes(self) -> None:
        self.assertEqual((), changes(VALID_TREE))

    def test_a_changed_default_affects_only_routes_that_inherit_it(self) -> None:
        new = with_value(VALID_TREE, "route_defaults.timeout", "3s")
        expected = Change(ChangeKind.CHANGED, Section.ROUTES, "lookup", "timeout", 10.0, 3.0)
        self.assertEqual((expected,), changes(new))
        self.assertEqual((), changes(new, "lekki"))

    def test_secrets_are_masked(self) -> None:
        new = with_value(VALID_TREE, "secrets", {"token": "other", "fresh": "z"})
        found = changes(new)
        kinds = {change.name: change.kind for change in found}
        expected = {"fresh": "added", "spare": "removed", "token": "changed"}
        self.assertEqual(expected, kinds)
        values = {change.old for change in found} | {change.new for change in found}
        self.assertEqual({MASKED, None}, values)

    def test_added_and_removed_routes_and_services_include_their_settings(self) -> None:
        new = with_value(VALID_TREE, "services.fresh", {})
        new = with_value(new, "routes", {"lookup": VALID_TREE["routes"]["lookup"]})
        service, route = changes(new)
        self.assertEqual((ChangeKind.ADDED, "fresh"), (service.kind, service.name))
        self.assertEqual(6, service.new["slots_per_backend"])
        self.assertEqual((ChangeKind.REMOVED, "records"), (route.kind, route.name))
        self.assertEqual("interactive", route.old["class"])


if __name__ == "__main__":
    unittest.main()
