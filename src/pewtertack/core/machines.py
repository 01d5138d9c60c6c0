"""The platform's machine list: back ends and nodes, live or leaving. It may be out of date."""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Mapping
from enum import StrEnum
from typing import Any

import msgspec

_ADDRESS = re.compile(r"(?P<host>[0-9.]{7,15}|\[[0-9A-Fa-f:.]{2,45}\]):(?P<port>[0-9]{1,5})")
PORT_MAX = 65535
SLOTS_MAX = 4096
"""Each request uses a connection on both sides, and a machine has at most 8,192 descriptors."""
STARTED_AT_MAX_MS = 2**52
"""No back end starts that late; JSON numbers are exact up to this value."""


class MachineState(StrEnum):
    """A machine's state as reported by the platform."""

    LIVE = "live"
    LEAVING = "leaving"


class MachineRole(StrEnum):
    """What runs on a machine."""

    NODE = "node"
    BACKEND = "backend"


class Machine(msgspec.Struct, frozen=True):
    """One machine of the list. ``address`` is ``ip:port``.

    For a node the address is its advertised peer address, and ``service`` is empty. For a
    back end it is the HTTP address, and ``service`` is its service; ``gateway`` is the
    ``ip:port`` of the node on the same machine, empty if other nodes may call the back end
    directly; ``slots`` is the number of requests that it executes at once, 0 if the
    service's settings define that number.
    """

    name: str
    role: MachineRole
    zone: str
    address: str
    service: str = ""
    state: MachineState = MachineState.LIVE
    region: str = ""
    gateway: str = ""
    slots: int = 0
    cold: bool = False
    """Whether the back end, in its last update, asked for less than its full share of requests."""
    started_at: int = 0
    """Start time of the back end in Unix milliseconds; 0 if the platform does not report it.

    A back end that restarts under the same name has no requests and no state of the earlier
    incarnation.
    """

    listed_at: int = 0
    """When the back end was first registered, as a number that grows; 0 if unknown."""

    @property
    def is_backend(self) -> bool:
        """Whether it is a back end."""
        return self.role is MachineRole.BACKEND

    @property
    def incarnation(self) -> tuple[str, str, int]:
        """What identifies one incarnation of a back end, apart from its name."""
        return self.address, self.service, self.started_at

    @property
    def entry_key(self) -> tuple[str, str, int, int]:
        """What identifies one entry of the platform, apart from its name."""
        return self.address, self.service, self.started_at, self.listed_at

    def is_before_incarnation(self, started_at: int) -> bool:
        """Tell whether the entry is about an earlier incarnation than that of ``started_at``.

        This happens because entries may be written or read late.
        """
        return 0 < self.started_at < started_at

    def is_after_incarnation(self, started_at: int) -> bool:
        """Tell whether the entry is about a later incarnation than that of ``started_at``."""
        return 0 < started_at < self.started_at


class MachineList(msgspec.Struct, frozen=True):
    """The machine list under its number, as one answer of the platform gives it."""

    number: int
    machines: tuple[Machine, ...]

    def without_start_times_after(self, latest: int) -> MachineList:
        """Return the list with start times after ``latest`` (Unix milliseconds) set to 0.

        Such a time cannot be the back end's own. If it were used, everything that the running
        back end reports would be attributed to an earlier incarnation and ignored, until it
        restarts with a later start time.
        """
        if all(machine.started_at <= latest for machine in self.machines):
            return self
        return MachineList(
            self.number,
            tuple(
                machine
                if machine.started_at <= latest
                else msgspec.structs.replace(machine, started_at=0)
                for machine in self.machines
            ),
        )


def is_ip_address(text: str) -> bool:
    """Tell whether ``text`` is an IP address; nodes may be named by one."""
    try:
        ipaddress.ip_address(text.strip("[]"))
    except ValueError:
        return False
    return True


def normalize_machine_address(text: str) -> str | None:
    """Return ``ip:port`` in canonical form, or ``None`` if no machine can have this address."""
    match = _ADDRESS.fullmatch(text)
    if match is None or not is_ip_address(match["host"]):
        return None
    ip, port = ipaddress.ip_address(match["host"].strip("[]")), int(match["port"])
    if not 0 < port <= PORT_MAX or ip.is_unspecified or ip.is_multicast:
        return None
    return f"[{ip}]:{port}" if ip.version == 6 else f"{ip}:{port}"


def machine_list_from_document(number: int, document: Mapping[str, Any]) -> MachineList:
    """Convert a machine list from its document form ``{name: {role, zone, address, ...}}``.

    Raises:
        msgspec.ValidationError: a machine lacks a required key or has an invalid value.
    """
    machines = (
        msgspec.convert({"name": name, **entry}, Machine)
        for name, entry in sorted(document.items())
    )
    return MachineList(number, tuple(machines))
