"""Instructions that the coordination core returns to its runtime."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from pewtertack.core.configuration.resolved import ResolvedConfiguration
from pewtertack.core.machines import MachineList
from pewtertack.events import Event
from pewtertack.wire.messages import DocumentKind, Message


@dataclass(frozen=True, slots=True)
class Send:
    """Send ``message`` to the peer ``name`` at ``address``, best effort."""

    name: str
    address: str
    message: Message


@dataclass(frozen=True, slots=True)
class ReadDocument:
    """Read a document from the platform, unless number ``after`` is still current.

    At most one read of a kind is outstanding; the runtime answers each with one
    of the three document inputs. ``wait`` is how long the platform may hold the
    read open while nothing changes (long poll), in seconds.
    """

    kind: DocumentKind
    after: int
    wait: float
    may_be_stale: bool = False
    """A cheaper answer that is some seconds old will do, if the platform gives such."""


@dataclass(frozen=True, slots=True)
class BringIntoForce:
    """Swap the proxy to this configuration in one step."""

    configuration: ResolvedConfiguration


@dataclass(frozen=True, slots=True)
class UseMachines:
    """Choose back ends from this list from now on."""

    machines: MachineList


@dataclass(frozen=True, slots=True)
class SetServing:
    """Accept callers' requests, or refuse them as not run with ``retry_after`` seconds."""

    serving: bool
    retry_after: float = 1.0


@dataclass(frozen=True, slots=True)
class Log:
    """Record a numbered event with its fields."""

    event: Event
    fields: dict[str, Any]


Effect = Send | ReadDocument | BringIntoForce | UseMachines | SetServing | Log
