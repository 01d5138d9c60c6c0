"""Builds configuration trees for simulated runs."""

from __future__ import annotations

from typing import Any

from pewtertack.core.revision import Document


def tree_for_edit(edit_number: int) -> Document:
    """Return a small valid tree that differs from the tree of any other edit.

    Services and secrets change with each edit, so that a mixture of two trees
    lacks a service or a secret.
    """
    return {
        "route_defaults": {"timeout": f"{1 + edit_number}s"},
        "secrets": {f"key-{edit_number}": f"value-{edit_number}"},
        "services": {"logbook": {}, f"service-{edit_number}": {}},
        "routes": {
            "lookup": {"service": "logbook", "path_prefix": "/lookup"},
            "upload": {
                "service": f"service-{edit_number}",
                "path_prefix": "/upload",
                "header_secrets": {"x-key": f"key-{edit_number}"},
            },
        },
    }


def invalid_tree_for_edit(edit_number: int) -> Document:
    """Return the tree of an edit with a route to an undefined service added."""
    tree: dict[str, Any] = dict(tree_for_edit(edit_number))
    tree["routes"] = {
        **tree["routes"],
        "broken": {"service": "missing", "path_prefix": "/broken"},
    }
    return tree


def fleet_tree(service_count: int) -> Document:
    """Return a tree of the given number of services, with two routes and one secret each."""
    names = [f"service-{index:03}" for index in range(service_count)]
    routes: dict[str, Any] = {}
    for name in names:
        secret = {"header_secrets": {"x-key": f"key-{name}"}}
        routes[f"{name}-read"] = {
            "service": name,
            "path_prefix": f"/{name}/read",
            "repeatable": True,
            **secret,
        }
        routes[f"{name}-write"] = {"service": name, "path_prefix": f"/{name}/write", **secret}
    return {
        "route_defaults": {"timeout": "2s"},
        "secrets": {f"key-{name}": f"secret-of-{name}" for name in names},
        "services": {name: {} for name in names},
        "routes": routes,
    }
