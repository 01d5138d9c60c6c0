"""Encoding of a node's machine list overrides as messages for starting peers.

Overrides apply to the lists of a new era, after the source was restored from an old copy
(``core.returned_lists``).
"""

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
"""Maximum size of the entries of one message; with the envelope it then fits one datagram."""
MAX_MESSAGES = 8
"""Maximum number of messages for one peer. Messages beyond it are dropped, first those about kept
back ends."""
MILLISECONDS_PER_SECOND = 1000.0

Override = LeavingBackend | DepartedBackend | KeptBackend


def overrides_against(listed: MachineList, overridden: MachineList) -> list[Override]:
    """Return the differences in back ends between a list as read and the list in use.

    Args:
        listed: the machine list as it was read.
        overridden: the list with the overrides applied.

    Returns:
        The leaving back ends, then the departed ones, then the kept ones.
    """
    listed_backends, current = _backends(listed), _backends(overridden)
    leaving: list[Override] = []
    departed: list[Override] = []
    for name, machine in listed_backends.items():
        if name not in current:
            departed.append(DepartedBackend.of(machine))
        elif _is_newly_leaving(current[name], machine):
            leaving.append(LeavingBackend(name, machine.address, machine.started_at))
    kept = [
        KeptBackend.of(machine)
        for name, machine in current.items()
        if name not in listed_backends or machine.incarnation != listed_backends[name].incarnation
    ]
    return [*leaving, *departed, *kept]


def _is_newly_leaving(current: Machine, listed: Machine) -> bool:
    states = current.state, listed.state
    is_same_backend = current.incarnation == listed.incarnation
    return is_same_backend and states == (MachineState.LEAVING, MachineState.LIVE)


def _backends(machines: MachineList) -> dict[str, Machine]:
    return {machine.name: machine for machine in machines.machines if machine.is_backend}


def messages_of(
    number: int, overrides: list[Override], remaining_seconds: Callable[[str], float]
) -> tuple[ListOverrides, ...]:
    """Return the messages that contain ``overrides`` of the list ``number``.

    Args:
        number: the number of the machine list.
        overrides: the overrides to send.
        remaining_seconds: returns for how long the override of a back end remains valid.
    """
    by_remaining_ms: dict[int, list[Override]] = {}
    for override in overrides:
        remaining_ms = round(remaining_seconds(override.name) * MILLISECONDS_PER_SECOND)
        if remaining_ms > 0:
            by_remaining_ms.setdefault(remaining_ms, []).append(override)
    messages = [
        _message(number, remaining_ms, chunk)
        for remaining_ms, group in by_remaining_ms.items()
        for chunk in _chunks(group)
    ]
    return tuple(messages[:MAX_MESSAGES])


def _message(number: int, remaining_ms: int, chunk: list[Override]) -> ListOverrides:
    return ListOverrides(
        number,
        remaining_ms,
        tuple(entry for entry in chunk if isinstance(entry, LeavingBackend)),
        tuple(entry for entry in chunk if isinstance(entry, DepartedBackend)),
        tuple(entry for entry in chunk if isinstance(entry, KeptBackend)),
    )


def _chunks(overrides: list[Override]) -> Iterator[list[Override]]:
    """Yield chunks that fit one message each."""
    chunk: list[Override] = []
    size = 0
    for override in overrides:
        entry_size = len(cbor2.dumps(msgspec.to_builtins(override)))
        if chunk and size + entry_size > MAX_MESSAGE_BYTES:
            yield chunk
            chunk, size = [], 0
        chunk.append(override)
        size += entry_size
    if chunk:
        yield chunk
