"""Seeded edits of a tree: good ones, bad ones, and ones that move routes."""

from __future__ import annotations

import copy
import random
from collections.abc import Callable, Mapping
from typing import Any

Tree = dict[str, Any]


class TreeEditor:
    """Keeps the operators' newest good tree and makes the next one of it.

    Args:
        tree: the first tree; it stays as it is.
        seed: decides which edits follow.
    """

    def __init__(self, tree: Mapping[str, Any], seed: int) -> None:
        self._tree: Tree = copy.deepcopy(dict(tree))
        self._random = random.Random(f"edits:{seed}")
        self._count = 0

    def make_valid_edit(self) -> Tree:
        """Make a valid edit and return the whole tree."""
        edits = (self._change_default, self._add_route, self._rotate_secret, self._override_zone)
        return self._edit(self._random.choice(edits))

    def move_route(self) -> Tree:
        """Move a route to another service, valid, and return the whole tree."""
        return self._edit(self._move_route)

    def make_invalid_edit(self) -> Tree:
        """Return the newest good tree with a mistake; the editor forgets it."""
        kept = self._tree
        mistakes = (_lose_service, _lose_secret, _break_unit, _add_unknown_key)
        tree = self._edit(self._random.choice(mistakes))
        self._tree = kept
        return tree

    def add_route(self, name: str, route: Mapping[str, Any]) -> Tree:
        """Add a route of the caller's choice and return the whole tree."""

        def add(tree: Tree) -> None:
            tree["routes"][name] = dict(route)

        return self._edit(add)

    def set_evacuated_zones(self, *zones: str) -> Tree:
        """Evacuate just these zones, none to take all back, and return the whole tree."""

        def evacuate(tree: Tree) -> None:
            tree["evacuated_zones"] = list(zones)

        return self._edit(evacuate)

    def _edit(self, change: Callable[[Tree], None]) -> Tree:
        self._count += 1
        tree = copy.deepcopy(self._tree)
        change(tree)
        self._tree = tree
        return copy.deepcopy(tree)

    def _change_default(self, tree: Tree) -> None:
        tree["route_defaults"]["timeout"] = f"{2000 + self._count}ms"

    def _add_route(self, tree: Tree) -> None:
        service = self._random.choice(sorted(tree["services"]))
        tree["routes"][f"extra-{self._count}"] = {
            "service": service,
            "hosts": ["extra.example"],
            "path_prefix": f"/extra-{self._count}",
            "methods": ["GET"],
        }

    def _rotate_secret(self, tree: Tree) -> None:
        name = self._random.choice(sorted(tree["secrets"]))
        tree["secrets"][name] = f"rotated-{self._count}"

    def _override_zone(self, tree: Tree) -> None:
        zone = self._random.choice(sorted(tree["zones"]))
        defaults = tree["zones"][zone].setdefault("route_defaults", {})
        defaults["queue_limit"] = 16 + self._count

    def _move_route(self, tree: Tree) -> None:
        names = [name for name, route in tree["routes"].items() if "service" in route]
        route = tree["routes"][self._random.choice(sorted(names))]
        others = sorted(set(tree["services"]) - {route["service"]})
        route["service"] = self._random.choice(others)


def _lose_service(tree: Tree) -> None:
    tree["services"].pop(sorted(tree["services"])[0])


def _lose_secret(tree: Tree) -> None:
    tree["secrets"].pop(sorted(tree["secrets"])[0])


def _break_unit(tree: Tree) -> None:
    tree["route_defaults"]["timeout"] = "2 parsecs"


def _add_unknown_key(tree: Tree) -> None:
    tree["route_defaults"]["patience"] = "2s"
