"""What a node holds against lists of a new era, in the form that starting peers are told."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import cbor2
import msgspec

from pewtertack.core.machines import Machine, MachineList, MachineState
from pewtertack.wire.messages import (
    DepartedBackend,
    KeptBackend,
    LeavingBackend,
    ListOverrides,
)

MAX_MESSAGE_BYTES = 900
"""Of the entries of one message: with the envelope it fits one datagram."""
MAX_MESSAGES = 8
"""For one peer; what does not fit is left out, kept back ends first."""
MILLISECONDS_PER_SECOND = 1000.0

Override = LeavingBackend | DepartedBackend | KeptBackend


def overrides_against(listed: MachineList, believed: MachineList) -> list[Override]:
    """Return how ``believed`` differs from ``listed`` in back ends, with those kept at the end."""
    names, current = _backends(listed), _backends(believed)
    leaving: list[Override] = []
    gone: list[Override] = []
    for name, machine in names.items():
        if name not in current:
            gone.append(DepartedBackend.of(machine))
        elif _is_newly_leaving(current[name], machine):
            leaving.append(LeavingBackend(name, machine.address, machine.started_at))
    kept = [
        KeptBackend.of(machine)
        for name, machine in current.items()
        if name not in names or machine.incarnation != names[name].incarnation
    ]
    return [*leaving, *gone, *kept]


def _is_newly_leaving(current: Machine, listed: Machine) -> bool:
    states = current.state, listed.state
    is_one = current.incarnation == listed.incarnation
    return is_one and states == (MachineState.LEAVING, MachineState.LIVE)


def _backends(machines: MachineList) -> dict[str, Machine]:
    return {machine.name: machine for machine in machines.machines if machine.is_backend}


def messages_of(
    number: int, overrides: list[Override], left_of: Callable[[str], float]
) -> tuple[ListOverrides, ...]:
    """Return the messages that tell ``overrides`` of the list ``number``.

    Args:
        left_of: for how many more seconds what is held of a back end holds.
    """
    by_end: dict[int, list[Override]] = {}
    for override in overrides:
        left = round(left_of(override.name) * MILLISECONDS_PER_SECOND)
        if left > 0:
            by_end.setdefault(left, []).append(override)
    messages = [
        _message(number, left, part) for left, held in by_end.items() for part in _chunks(held)
    ]
    return tuple(messages[:MAX_MESSAGES])


def _message(number: int, left: int, part: list[Override]) -> ListOverrides:
    return ListOverrides(
        number,
        left,
        tuple(entry for entry in part if isinstance(entry, LeavingBackend)),
        tuple(entry for entry in part if isinstance(entry, DepartedBackend)),
        tuple(entry for entry in part if isinstance(entry, KeptBackend)),
    )


def _chunks(overrides: list[Override]) -> Iterator[list[Override]]:
    """Yield parts that fit one message each."""
    part: list[Override] = []
    size = 0
    for override in overrides:
        entry_size = len(cbor2.dumps(msgspec.to_builtins(override)))
        if part and size + entry_size > MAX_MESSAGE_BYTES:
            yield part
            part, size = [], 0
        part.append(override)
        size += entry_size
    if part:
        yield part
