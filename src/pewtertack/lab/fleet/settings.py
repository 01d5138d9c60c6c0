"""Files that the processes of a fleet read when they start."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path

import msgspec

from pewtertack.lab.backend.state import LEAVING_HEADER, RATE_LIMIT_HEADER
from pewtertack.lab.fleet.plan import FLEET_KEY, FleetPlan, NodePlan

NODE_TEMPLATE = """\
[node]
name = "{name}"
zone = "{zone}"
region = "{region}"
{link}
[listen]
{proxy}{gateway}peer = "{peer}"
admin = "{admin}"

[advertise]
peer = "{advertised}"

[source]
url = "http://{source}"

[machines]
url = "http://{machines}"

[peers]
seeds = [{seeds}]
key = "{key}"

[headers]
rate_limit = "{rate_limit}"
leaving = "{leaving}"

[profile]
name = "{profile}"
{backend}{limits}{policies}"""


def node_settings(plan: FleetPlan, node: NodePlan) -> str:
    """Return the settings file of a node as TOML."""
    return NODE_TEMPLATE.format(
        name=node.name,
        zone=node.zone,
        region=plan.shape.region,
        link=_link_line(plan),
        proxy=_proxy_line(plan, node),
        gateway=_gateway_line(node),
        peer=node.peer,
        admin=node.admin,
        advertised=node.advertised,
        source=plan.source.listen,
        machines=plan.machines.listen,
        seeds=", ".join(f'"{seed}"' for seed in plan.seed_addresses() if seed != node.advertised),
        key=FLEET_KEY,
        rate_limit=RATE_LIMIT_HEADER,
        leaving=LEAVING_HEADER,
        profile=plan.shape.profile,
        backend=_backend_section(plan, node),
        limits=_section("limits", plan.shape.limits),
        policies=_section("policies", plan.shape.policies),
    )


def _link_line(plan: FleetPlan) -> str:
    return f"link_mbps = {plan.shape.link_mbps}\n" if plan.shape.link_mbps else ""


def _proxy_line(plan: FleetPlan, node: NodePlan) -> str:
    if node.name in plan.shape.nodes_without_proxy:
        return ""
    return f'proxy = "{node.proxy}"\n'


def _gateway_line(node: NodePlan) -> str:
    return "" if node.gateway is None else f'gateway = "{node.gateway}"\n'


def _backend_section(plan: FleetPlan, node: NodePlan) -> str:
    backend = plan.local_backend(node.name)
    if backend is None:
        return ""
    return f'\n[backend]\naddress = "{backend.address}"\nservice = "{backend.service}"\n'


def _section(name: str, values: Mapping[str, str]) -> str:
    if not values:
        return ""
    lines = (f'{key} = "{value}"\n' for key, value in values.items())
    return f"\n[{name}]\n" + "".join(lines)


def write_files(plan: FleetPlan, directory: Path) -> None:
    """Write the tree, the machine list, the relay's list of nodes and all settings files."""
    relay_entries = [node.relay_entry() for node in plan.nodes.values()]
    tree_path(directory).write_bytes(msgspec.json.encode(plan.shape.tree))
    machines_path(directory).write_bytes(msgspec.json.encode(plan.machine_list()))
    relay_path(directory).write_bytes(msgspec.json.encode(relay_entries))
    for node in plan.nodes.values():
        settings_path(directory, node.name).write_text(node_settings(plan, node))


def tree_path(directory: Path) -> Path:
    """Return the path of the source's first tree."""
    return directory / "tree.json"


def machines_path(directory: Path) -> Path:
    """Return the path of the first machine list."""
    return directory / "machines.json"


def relay_path(directory: Path) -> Path:
    """Return the path of the relay's list of nodes."""
    return directory / "relay.json"


def settings_path(directory: Path, node: str) -> Path:
    """Return the path of a node's settings."""
    return directory / f"{node}.toml"
