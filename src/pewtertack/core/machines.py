"""The platform's lagging list of machines: back ends and nodes, live or leaving."""

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
"""Each request takes a connection on both sides, and a machine has 8,192 descriptors at most."""
STARTED_AT_MAX_MS = 2**52
"""Milliseconds. No back end starts then; JSON's numbers are exact up to it."""


class MachineState(StrEnum):
    """What the platform says of one machine."""

    LIVE = "live"
    LEAVING = "leaving"


class MachineRole(StrEnum):
    """What runs on a machine."""

    NODE = "node"
    BACKEND = "backend"


class Machine(msgspec.Struct, frozen=True):
    """One machine of the list. ``address`` is ``ip:port``.

    For a node the address is the peer address which it advertises; ``service``
    is empty. For a back end it is the HTTP address and ``service`` its service;
    ``gateway`` is the ``ip:port`` of the node beside it, empty when others may call
    the back end itself, and ``slots`` how many requests it works on at once, 0 when
    the service's settings say so.
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
    """The back end said, when it last wrote, that it does not bear its full share yet."""
    started_at: int = 0
    """Unix milliseconds of the back end's start, 0 where its platform does not tell it.

    One that starts again under its name holds and knows nothing of what was before.
    """

    listed_at: int = 0
    """When the platform was first told of the back end, as a number that grows; 0 if unknown."""

    @property
    def is_backend(self) -> bool:
        """Whether it is a back end."""
        return self.role is MachineRole.BACKEND

    @property
    def incarnation(self) -> tuple[str, str, int]:
        """What stays the same from the start of a back end to its end, beside its name."""
        return self.address, self.service, self.started_at

    @property
    def entry_key(self) -> tuple[str, str, int, int]:
        """What stays the same while one entry of the platform stands, beside the name."""
        return self.address, self.service, self.started_at, self.listed_at

    def is_before_incarnation(self, started_at: int) -> bool:
        """Tell whether this is said of a life that had ended when the one at ``started_at`` began.

        Entries may be written or read late.
        """
        return 0 < self.started_at < started_at

    def is_after_incarnation(self, started_at: int) -> bool:
        """Tell whether this is said of a life after the one that began at ``started_at``."""
        return 0 < started_at < self.started_at


class MachineList(msgspec.Struct, frozen=True):
    """One answer of the platform's list service."""

    number: int
    machines: tuple[Machine, ...]

    def without_start_times_after(self, latest: int) -> MachineList:
        """Return the list with starts after ``latest``, in Unix milliseconds, as if untold.

        Such a start is no back end's own: whatever the one that lives under the name says would
        be taken for said of an earlier life, until its start is later.
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
    """Tell whether ``text`` is an IP number, as which nodes may be named."""
    try:
        ipaddress.ip_address(text.strip("[]"))
    except ValueError:
        return False
    return True


def normalize_machine_address(text: str) -> str | None:
    """Return ``ip:port`` as nodes write it, or ``None`` where no machine can have it."""
    found = _ADDRESS.fullmatch(text)
    if found is None or not is_ip_address(found["host"]):
        return None
    number, port = ipaddress.ip_address(found["host"].strip("[]")), int(found["port"])
    if not 0 < port <= PORT_MAX or number.is_unspecified or number.is_multicast:
        return None
    return f"[{number}]:{port}" if number.version == 6 else f"{number}:{port}"


def machine_list_from_document(number: int, document: Mapping[str, Any]) -> MachineList:
    """Read a list from its document form ``{name: {role, zone, address, ...}}``.

    Raises:
        msgspec.ValidationError: a machine lacks a key or has a wrong value.
    """
    machines = (
        msgspec.convert({"name": name, **entry}, Machine)
        for name, entry in sorted(document.items())
    )
    return MachineList(number, tuple(machines))
