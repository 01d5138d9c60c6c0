"""Series of faults of the mesh; the seed decides each lane's series."""

from __future__ import annotations

import signal
from collections.abc import Awaitable, Callable
from random import Random
from typing import Protocol

import anyio

from pewtertack.lab.mesh.backend import AnswerFaults

MAX_ANSWER_FAULT_SECONDS = 5.0
PAUSE_SECONDS = (0.3, 3.0)
DOWNTIME_SECONDS = (0.1, 2.5)
STOP_TIMEOUT_SECONDS = 8.0
RELEASED_MACHINES = (2, 4)
RELEASE_GAP_SECONDS = (0.1, 1.5)
HIGHEST_SHARES = {
    "refused": 0.55,
    "anonymous": 1.0,
    "repeated_late": 0.2,
    "repeated_at_once": 0.05,
    "early": 0.5,
    "garbled": 0.05,
    "lost": 0.05,
}
"""Highest share of the answers for each fault of ``AnswerFaults``."""
PRESENT_SHARE = 2 / 3
SLOWDOWNS = (1.0, 1.0, 4.0)
CUT_SECONDS = (0.2, 5.0)
CUT_DIRECTIONS = ((True, True), (True, False), (False, True))
"""Whether what comes to the machine is cut, and what leaves it."""
REFUSING_SECONDS = (0.1, 0.3)
MIN_ZONES = 3
"""Zones that every shape has."""


class FaultyMesh(Protocol):
    """A mesh in which faults can be caused."""

    @property
    def machine_names(self) -> list[str]:
        """The names of the machines."""

    @property
    def service_names(self) -> list[str]:
        """The names of the services."""

    @property
    def relayed_machines(self) -> list[str]:
        """The names of the machines that can be cut off."""

    @property
    def without(self) -> frozenset[str]:
        """Lanes and faults of answers that are left out."""

    def machines_of(self, service: str) -> list[str]:
        """Return the machines whose back ends are of a service."""

    def set_answer_faults(self, machine: str, faults: AnswerFaults) -> None:
        """Replace the faults of a back end's answers."""

    def set_refusing(self, service: str, refusing: bool) -> None:
        """Let the service's back ends refuse every request, or end that."""

    def set_rate(self, factor: float) -> None:
        """Multiply the rate of new requests."""

    async def crash_backend(self, machine: str, downtime: float, unlisted_after: float) -> None:
        """End a back end and start another life at its address after ``downtime`` seconds.

        The store lists the former life until ``unlisted_after`` seconds after its end.
        """

    async def freeze_backend(self, machine: str, seconds: float) -> None:
        """Freeze a back end for a while."""

    def set_cut(self, machine: str, incoming: bool, outgoing: bool) -> None:
        """Cut a relayed machine off from the store and from other nodes' requests, or heal it."""

    def edit_configuration(self, timeout_factor: float) -> None:
        """Write a new version in which the routes' time-outs are multiplied."""

    def evacuate(self, zone_index: int, active: bool) -> None:
        """Begin or end the evacuation of a zone."""

    async def drain_backend(self, machine: str, seconds: float) -> None:
        """Let a back end leave and another life follow after ``seconds``."""

    async def signal_node(self, machine: str, number: signal.Signals) -> None:
        """Send a signal to a node's process."""

    async def restart_node(self, machine: str, number: signal.Signals, downtime: float) -> None:
        """End a node's process by a signal and start it again ``downtime`` seconds later."""

    async def replace_machine(self, machine: str, downtime: float) -> None:
        """Stop a machine as planned and put another in its place ``downtime`` seconds later."""


Fault = Callable[[FaultyMesh, Random], Awaitable[None]]


async def spoil_answers(mesh: FaultyMesh, chooser: Random) -> None:
    """Back ends of one service refuse, repeat, spoil, lose or delay a part of their answers."""
    machines = mesh.machines_of(chooser.choice(mesh.service_names))
    affected = chooser.sample(machines, max(1, round(len(machines) * chooser.uniform(0.3, 1.0))))
    faults = draw_answer_faults(chooser, mesh.without)
    for machine in affected:
        mesh.set_answer_faults(machine, faults)
    await anyio.sleep(chooser.uniform(1.0, MAX_ANSWER_FAULT_SECONDS))
    for machine in affected:
        mesh.set_answer_faults(machine, AnswerFaults())


def draw_answer_faults(chooser: Random, without: frozenset[str]) -> AnswerFaults:
    """Return faults of which each is present in two of three cases, and never if left out."""
    shares: dict[str, float] = {}
    for name, highest in HIGHEST_SHARES.items():
        share = chooser.uniform(0.0, highest)
        if chooser.random() < PRESENT_SHARE and name not in without:
            shares[name] = share
    slowdown = chooser.choice(SLOWDOWNS)
    return AnswerFaults(**shares, slowdown=slowdown)


async def refuse_all(mesh: FaultyMesh, chooser: Random) -> None:
    """All back ends of one service refuse for a moment, so that no retry helps."""
    service = chooser.choice(mesh.service_names)
    mesh.set_refusing(service, True)
    await anyio.sleep(chooser.uniform(*REFUSING_SECONDS))
    mesh.set_refusing(service, False)


async def crash(mesh: FaultyMesh, chooser: Random) -> None:
    """A back end ends; another life follows at its address, perhaps before the store tells so."""
    machine = chooser.choice(mesh.machine_names)
    downtime, unlisted_after = chooser.uniform(0.0, 2.0), chooser.uniform(0.0, 3.0)
    await mesh.crash_backend(machine, downtime, unlisted_after)


async def freeze(mesh: FaultyMesh, chooser: Random) -> None:
    """A back end freezes with requests in it and resumes."""
    await mesh.freeze_backend(chooser.choice(mesh.machine_names), chooser.uniform(*PAUSE_SECONDS))


async def edit(mesh: FaultyMesh, chooser: Random) -> None:
    """The operator changes the time-outs of all routes."""
    mesh.edit_configuration(chooser.uniform(0.4, 1.2))


async def evacuate(mesh: FaultyMesh, chooser: Random) -> None:
    """A zone is evacuated and taken back."""
    zone_index = chooser.randrange(MIN_ZONES)
    mesh.evacuate(zone_index, active=True)
    await anyio.sleep(chooser.uniform(1.0, 3.0))
    mesh.evacuate(zone_index, active=False)


async def drain(mesh: FaultyMesh, chooser: Random) -> None:
    """A back end leaves as planned and is replaced."""
    await mesh.drain_backend(chooser.choice(mesh.machine_names), chooser.uniform(2.0, 4.0))


async def stop_node(mesh: FaultyMesh, chooser: Random) -> None:
    """A node is stopped as planned and started again."""
    machine = chooser.choice(mesh.machine_names)
    await mesh.restart_node(machine, signal.SIGTERM, chooser.uniform(*DOWNTIME_SECONDS))


async def kill_node(mesh: FaultyMesh, chooser: Random) -> None:
    """A node is killed and started again."""
    machine = chooser.choice(mesh.machine_names)
    await mesh.restart_node(machine, signal.SIGKILL, chooser.uniform(*DOWNTIME_SECONDS))


async def release(mesh: FaultyMesh, chooser: Random) -> None:
    """Machines are replaced one after the other; their stops overlap."""
    count = min(chooser.randint(*RELEASED_MACHINES), len(mesh.machine_names) - 1)
    machines = chooser.sample(mesh.machine_names, count)
    async with anyio.create_task_group() as replacements:
        for machine in machines:
            downtime = chooser.uniform(*DOWNTIME_SECONDS)
            replacements.start_soon(mesh.replace_machine, machine, downtime)
            await anyio.sleep(chooser.uniform(*RELEASE_GAP_SECONDS))


async def pause_node(mesh: FaultyMesh, chooser: Random) -> None:
    """A node is paused and resumed."""
    machine = chooser.choice(mesh.machine_names)
    await mesh.signal_node(machine, signal.SIGSTOP)
    await anyio.sleep(chooser.uniform(*PAUSE_SECONDS))
    await mesh.signal_node(machine, signal.SIGCONT)


async def reload_node(mesh: FaultyMesh, chooser: Random) -> None:
    """A node reads its settings again."""
    await mesh.signal_node(chooser.choice(mesh.machine_names), signal.SIGHUP)


async def cut_off(mesh: FaultyMesh, chooser: Random) -> None:
    """A machine is cut off, in one direction or both; what was sent meanwhile arrives late."""
    machine = chooser.choice(mesh.relayed_machines)
    incoming, outgoing = chooser.choice(CUT_DIRECTIONS)
    mesh.set_cut(machine, incoming, outgoing)
    await anyio.sleep(chooser.uniform(*CUT_SECONDS))
    mesh.set_cut(machine, False, False)


async def burst(mesh: FaultyMesh, chooser: Random) -> None:
    """The callers send up to twice as many requests."""
    mesh.set_rate(chooser.uniform(1.3, 2.0))
    await anyio.sleep(chooser.uniform(1.0, 3.0))
    mesh.set_rate(1.0)


LANES: dict[str, tuple[Fault, ...]] = {
    "answers": (spoil_answers,),
    "more-answers": (spoil_answers,),
    "refusals": (refuse_all,),
    "backends": (crash, freeze, freeze, drain),
    "nodes": (stop_node, kill_node, pause_node, reload_node),
    "releases": (release,),
    "links": (cut_off,),
    "load": (burst,),
    "operator": (edit, edit, evacuate),
}
"""Faults of each lane. The lanes run side by side; within a lane one fault follows another."""
MAX_GAP_SECONDS = 2.0
OMITTABLE = frozenset(LANES) | frozenset(HIGHEST_SHARES)
"""What can be left out of a run."""


async def run_lane(mesh: FaultyMesh, lane: str, seed: int, until: float) -> None:
    """Cause the faults of a lane one after the other until a time of the event loop's clock."""
    chooser = Random(f"{lane}:{seed}")
    while anyio.current_time() < until:
        await anyio.sleep(chooser.uniform(0.0, MAX_GAP_SECONDS))
        await chooser.choice(LANES[lane])(mesh, chooser)
