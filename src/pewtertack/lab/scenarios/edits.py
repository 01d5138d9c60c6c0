"""Reproducible random edits of a tree: valid ones, invalid ones and ones that move routes."""

from __future__ import annotations

import copy
import random
from collections.abc import Callable, Mapping
from typing import Any

Tree = dict[str, Any]


class TreeEditor:
    """Keeps the operators' newest valid tree and derives the next one from it.

    Args:
        tree: the first tree; it is not modified.
        seed: the seed of the sequence of edits.
    """

    def __init__(self, tree: Mapping[str, Any], seed: int) -> None:
        self._tree: Tree = copy.deepcopy(dict(tree))
        self._random = random.Random(f"edits:{seed}")
        self._edit_count = 0

    def make_valid_edit(self) -> Tree:
        """Make a random valid edit and return the whole tree."""
        edits = (
            self._change_default_timeout,
            self._add_route,
            self._rotate_secret,
            self._change_zone_queue_limit,
        )
        return self._apply(self._random.choice(edits))

    def move_route(self) -> Tree:
        """Move a random route to another service, a valid edit, and return the whole tree."""
        return self._apply(self._move_route)

    def make_invalid_edit(self) -> Tree:
        """Return the newest valid tree with a random error, which later edits do not contain."""
        valid_tree = self._tree
        invalid_changes = (_remove_service, _remove_secret, _set_invalid_unit, _add_unknown_key)
        tree = self._apply(self._random.choice(invalid_changes))
        self._tree = valid_tree
        return tree

    def add_route(self, name: str, route: Mapping[str, Any]) -> Tree:
        """Add the given route and return the whole tree."""

        def add(tree: Tree) -> None:
            tree["routes"][name] = dict(route)

        return self._apply(add)

    def set_evacuated_zones(self, *zones: str) -> Tree:
        """Set the evacuated zones, to none without arguments, and return the whole tree."""

        def evacuate(tree: Tree) -> None:
            tree["evacuated_zones"] = list(zones)

        return self._apply(evacuate)

    def _apply(self, change: Callable[[Tree], None]) -> Tree:
        self._edit_count += 1
        tree = copy.deepcopy(self._tree)
        change(tree)
        self._tree = tree
        return copy.deepcopy(tree)

    def _change_default_timeout(self, tree: Tree) -> None:
        tree["route_defaults"]["timeout"] = f"{2000 + self._edit_count}ms"

    def _add_route(self, tree: Tree) -> None:
        service = self._random.choice(sorted(tree["services"]))
        tree["routes"][f"extra-{self._edit_count}"] = {
            "service": service,
            "hosts": ["extra.example"],
            "path_prefix": f"/extra-{self._edit_count}",
            "methods": ["GET"],
        }

    def _rotate_secret(self, tree: Tree) -> None:
        name = self._random.choice(sorted(tree["secrets"]))
        tree["secrets"][name] = f"rotated-{self._edit_count}"

    def _change_zone_queue_limit(self, tree: Tree) -> None:
        zone = self._random.choice(sorted(tree["zones"]))
        defaults = tree["zones"][zone].setdefault("route_defaults", {})
        defaults["queue_limit"] = 16 + self._edit_count

    def _move_route(self, tree: Tree) -> None:
        names = [name for name, route in tree["routes"].items() if "service" in route]
        route = tree["routes"][self._random.choice(sorted(names))]
        others = sorted(set(tree["services"]) - {route["service"]})
        route["service"] = self._random.choice(others)


def _remove_service(tree: Tree) -> None:
    tree["services"].pop(sorted(tree["services"])[0])


def _remove_secret(tree: Tree) -> None:
    tree["secrets"].pop(sorted(tree["secrets"])[0])


def _set_invalid_unit(tree: Tree) -> None:
    tree["route_defaults"]["timeout"] = "2 parsecs"


def _add_unknown_key(tree: Tree) -> None:
    tree["route_defaults"]["patience"] = "2s"
