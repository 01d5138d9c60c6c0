"""Fleet shapes of the two existing deployments; their trees are read from ``examples``."""

from __future__ import annotations

import json
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from pewtertack.lab.errors import LabUsageError
from pewtertack.lab.fleet.plan import FleetShape


@dataclass(frozen=True, slots=True)
class Deployment:
    """The zones, services and timing profile of one deployment.

    ``services`` maps each service to its number of back ends.
    """

    name: str
    zones: tuple[str, ...]
    services: Mapping[str, int]
    profile: str


DEPLOYMENTS = {
    "lagos": Deployment(
        "lagos",
        ("ikeja", "yaba", "lekki", "surulere"),
        {"logbook": 7, "archive": 5},
        "frugal",
    ),
    "kolkata": Deployment(
        "kolkata",
        ("salt-lake", "new-town", "howrah", "garia"),
        {"casedesk": 7, "cdrvault": 5},
        "fast",
    ),
}
EXAMPLES = Path("examples")


def read_tree(path: Path) -> dict[str, Any]:
    """Read a tree from a TOML or JSON file.

    Raises:
        LabUsageError: the file cannot be read or is not valid TOML or JSON.
    """
    try:
        text = path.read_text()
        tree = json.loads(text) if path.suffix == ".json" else tomllib.loads(text)
    except (OSError, ValueError) as error:
        raise LabUsageError(f"{path}: {error}") from error
    if not isinstance(tree, dict):
        raise LabUsageError(f"{path}: the tree is not a JSON object")
    return tree


def shape_of(name: str, examples: Path = EXAMPLES, nodes_per_zone: int = 2) -> FleetShape:
    """Return the fleet shape of the deployment ``name``.

    Raises:
        LabUsageError: the deployment is unknown, or its tree cannot be read.
    """
    deployment = DEPLOYMENTS.get(name)
    if deployment is None:
        raise LabUsageError(f"unknown deployment {name!r}; accepted: {', '.join(DEPLOYMENTS)}")
    return FleetShape(
        zones=deployment.zones,
        services=deployment.services,
        tree=read_tree(examples / name / "tree.toml"),
        nodes_per_zone=nodes_per_zone,
        region=name,
        profile=deployment.profile,
    )
