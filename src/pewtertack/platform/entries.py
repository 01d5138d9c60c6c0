"""The back ends' entries as a machine list. One that cannot be understood harms no other."""

from __future__ import annotations

import re
from collections.abc import Mapping
from functools import lru_cache
from typing import Annotated, Any, Literal

import msgspec

from pewtertack.core.configuration.model import NAME_PATTERN, ZONE_NAME_PATTERN
from pewtertack.core.items import ItemFinding, ItemFormatError, ItemProblem, parse_item
from pewtertack.core.machines import (
    SLOTS_MAX,
    STARTED_AT_MAX_MS,
    MachineRole,
    MachineState,
    is_ip_address,
    normalize_machine_address,
)

DRAINING = "draining"
NODE = MachineRole.NODE.value
ENTRIES_KEPT = 2048
"""Entries that are read once while they stay as they are: 82 take 1.5 ms, kept ones 0.2 ms."""
NO_TIME = ("ms", "s")
"""What is left of a length of time without the zeros of its number."""
_ENTRY_NAME = re.compile("[!-~]{1,200}")
"""It goes into a header, as it is."""
_Name = Annotated[str, msgspec.Meta(pattern=rf"\A{NAME_PATTERN}\Z")]
_ZoneName = Annotated[str, msgspec.Meta(pattern=rf"\A{ZONE_NAME_PATTERN}\Z")]


class _Entry(msgspec.Struct, frozen=True, rename="pascal"):
    """All that a back end says of itself; its pages leave out none but ``born``."""

    service: _Name
    address: str
    zone: _ZoneName
    version: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=SLOTS_MAX)]
    state: Literal["ready", "draining"]
    cold_remaining: Annotated[str, msgspec.Meta(pattern=r"\A[0-9]{1,18}(\.[0-9]{1,18})?m?s\Z")]
    sequence: Annotated[int, msgspec.Meta(ge=0)]
    born: Annotated[int, msgspec.Meta(ge=0, le=STARTED_AT_MAX_MS)] = msgspec.field(
        name="born", default=0
    )


def machine_list_from_entries(
    entries: Mapping[str, bytes],
    gateway_port: int,
    peer_port: int,
    made: Mapping[str, int] | None = None,
) -> tuple[dict[str, dict[str, Any]], tuple[ItemFinding, ...]]:
    """Return the machine list of the back ends ``{id: entry}`` and the nodes beside them.

    Nodes have the same ports on all machines and are named by their IP numbers. An entry that
    cannot be understood is among the findings and names no machine. Several may name one
    address, since that of a back end that has ended is given to another before its entry
    goes; where they differ on the machine's zone, the first of ``entries`` holds. ``made`` are
    the revisions of their creation, which tell who has an address now.
    """
    machines: dict[str, dict[str, Any]] = {}
    findings: list[ItemFinding] = []
    for name, value in entries.items():
        try:
            entry, address = _entry_of(name, value)
        except ItemFormatError as error:
            findings.append(error.finding_for(name))
            continue
        host = address.rpartition(":")[0]
        machines[name] = _backend_of(entry, address, f"{host}:{gateway_port}")
        if made and made.get(name):
            machines[name]["listed_at"] = made[name]
        node = {"role": NODE, "zone": entry.zone, "address": f"{host}:{peer_port}"}
        if machines.setdefault(host, node)["zone"] != entry.zone:
            claimed = f"zone {entry.zone}, where {machines[host]['zone']} was named first"
            findings.append(ItemFinding(name, ItemProblem.CLAIMED, claimed))
    return machines, tuple(findings)


def _backend_of(entry: _Entry, address: str, gateway: str) -> dict[str, Any]:
    leaving = entry.state == DRAINING
    backend = {
        "role": MachineRole.BACKEND.value,
        "zone": entry.zone,
        "address": address,
        "service": entry.service,
        "state": (MachineState.LEAVING if leaving else MachineState.LIVE).value,
        "gateway": gateway,
        "slots": entry.slots,
    }
    if entry.born:
        backend["started_at"] = entry.born
    if entry.cold_remaining.strip("0.") not in NO_TIME:
        backend["cold"] = True
    return backend


@lru_cache(ENTRIES_KEPT)
def _entry_of(name: str, value: bytes) -> tuple[_Entry, str]:
    """Return a back end's entry, and its address as nodes write addresses."""
    if not _ENTRY_NAME.fullmatch(name) or is_ip_address(name):
        raise ItemFormatError(ItemProblem.NAME, "no name that a back end may have")
    entry = parse_item(value, _Entry)
    address = normalize_machine_address(entry.address)
    if address is None:
        raise ItemFormatError(ItemProblem.ADDRESS, entry.address)
    return entry, address
