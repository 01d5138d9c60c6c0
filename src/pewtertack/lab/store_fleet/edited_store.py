"""A metadata store with the writes of an operator and of back ends."""

from __future__ import annotations

from typing import Any

import msgspec

from pewtertack.lab.metadata_store.application import MetadataStore

CONFIGURATION_KEY = "op/config"
ENTRIES = "servers/"
EVACUATIONS = "op/evacuate/"
ZONES = ("east", "north", "west")
SERVICES = ("catalogue", "ledger", "archive", "gate")
HOST_NAME_COUNT = 40
INITIAL_ROUTES = 300
"""Number of routes in the configuration that nodes start with."""
BACKEND_PORT = 8080
ITEMS_PER_PAGE = 500
LIMITS = {
    "MaxHeaderBytes": 16384,
    "MaxBodyBytes": 1048576,
    "HeaderTimeout": "3s",
    "IdleTimeout": "15s",
}


def zone_of(index: int) -> str:
    """Return the zone of a machine."""
    return ZONES[index % len(ZONES)]


class EditedStore:
    """A store with an entry for a back end on each host, and an operator who adds routes.

    Args:
        hosts: IP addresses of the machines, which are assigned to zones in turn.
        first_revision: the store's revision before its first write.
    """

    def __init__(self, hosts: list[str], first_revision: int = 0) -> None:
        self.store = MetadataStore(page_items=ITEMS_PER_PAGE, revision=first_revision)
        self._hosts = hosts
        self.version = 0
        self.configuration_bytes = 0
        """Size of the newest configuration as the store returns it, encoded as Base64."""
        self._route_count = 0
        for index in range(len(hosts)):
            self.renew_entry(index)
        self.add_routes(INITIAL_ROUTES)

    def renew_entry(self, index: int) -> None:
        """Write the entry of a back end."""
        self.store.put(f"{ENTRIES}i-{index}", _entry(index, self._hosts[index]))

    def evacuate(self, zone: str) -> None:
        """Ask that nothing more be sent to the back ends of a zone."""
        self.store.put(f"{EVACUATIONS}{zone}", b"{}")

    def take_back(self, zone: str) -> None:
        """End the evacuation of a zone."""
        self.store.remove(f"{EVACUATIONS}{zone}")

    def add_routes(self, count: int) -> int:
        """Write a configuration with ``count`` more routes and return its version."""
        self.version += 1
        self._route_count += count
        configuration = {
            "Version": f"r{self.version}",
            "Routes": [_route(index) for index in range(self._route_count)],
            "Services": [_service(name) for name in SERVICES],
            "Limits": LIMITS,
        }
        encoded = msgspec.json.encode(configuration)
        self.configuration_bytes = len(encoded) * 4 // 3
        self.store.put(CONFIGURATION_KEY, encoded)
        return self.version


def _entry(index: int, host: str) -> bytes:
    return msgspec.json.encode(
        {
            "Service": SERVICES[index % len(SERVICES)],
            "Address": f"{host}:{BACKEND_PORT}",
            "Zone": zone_of(index),
            "Version": "v1",
            "State": "ready",
            "Slots": 8,
            "ColdRemaining": "0ms",
            "Sequence": 1,
        }
    )


def _route(index: int) -> dict[str, Any]:
    return {
        "Name": f"route-{index:05}",
        "Host": f"host-{index % HOST_NAME_COUNT}.example",
        "PathPrefix": f"/{index * 2654435761 % 2**32:08x}/",
        "Kind": "safe" if index % 3 else "unsafe",
        "Timeout": "4s",
        "TargetLatency": "2s",
        "Service": SERVICES[index % len(SERVICES)],
        "MaxAttempts": 3,
    }


def _service(name: str) -> dict[str, Any]:
    return {"Name": name, "HealthPath": "/health", "ConnectionLimit": 100}
