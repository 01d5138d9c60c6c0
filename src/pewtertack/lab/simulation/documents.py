"""Configuration trees for simulated runs: small ones that change with every edit."""

from __future__ import annotations

from typing import Any

from pewtertack.core.revision import Document


def tree_for_edit(number: int) -> Document:
    """Return a valid tree that differs from that of every other number.

    Routes, services and secrets come and go, so that a mixture of two trees
    would lack a service or a secret.
    """
    return {
        "route_defaults": {"timeout": f"{1 + number}s"},
        "secrets": {f"key-{number}": f"value-{number}"},
        "services": {"logbook": {}, f"service-{number}": {}},
        "routes": {
            "lookup": {"service": "logbook", "path_prefix": "/lookup"},
            "upload": {
                "service": f"service-{number}",
                "path_prefix": "/upload",
                "header_secrets": {"x-key": f"key-{number}"},
            },
        },
    }


def broken_tree_for_edit(number: int) -> Document:
    """Return the tree of ``number`` with a route to a service that does not exist."""
    tree: dict[str, Any] = dict(tree_for_edit(number))
    tree["routes"] = {
        **tree["routes"],
        "broken": {"service": "missing", "path_prefix": "/broken"},
    }
    return tree


def fleet_tree(services: int) -> Document:
    """Return a tree of ``services`` services with two routes and one secret each."""
    names = [f"service-{index:03}" for index in range(services)]
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
