"""The machines of a mesh and the faults that can be caused in them."""

from __future__ import annotations

import signal
from pathlib import Path
from random import Random, SystemRandom

import anyio
import anyio.abc
import msgspec

from pewtertack.lab.fleet.ports import PortAllocator
from pewtertack.lab.fleet.process import LabProcess
from pewtertack.lab.mesh.backend import AnswerFaults, MeshBackend
from pewtertack.lab.mesh.callers import NodeCallers
from pewtertack.lab.mesh.documents import (
    CONFIGURATION_KEY,
    ENTRIES,
    EVACUATIONS,
    encode_configuration,
    encode_entry,
    settings_fields,
)
from pewtertack.lab.mesh.faults import STOP_TIMEOUT_SECONDS
from pewtertack.lab.mesh.machine import Machine, MachinePorts
from pewtertack.lab.mesh.options import MeshOptions
from pewtertack.lab.mesh.record import MeshRecord
from pewtertack.lab.mesh.relay import CuttableRelay, MachineLinks
from pewtertack.lab.mesh.template import fill_template
from pewtertack.lab.metadata_store.application import MetadataStore
from pewtertack.lab.serving import Listener
from pewtertack.settings import Address

LISTED_SECONDS = 1.5
"""Time for the list of back ends to reach all nodes that serve."""
MAX_CONCURRENT_STARTS = 4
FIRST_HOST = 10
"""Last number of the first machine's address."""
FIRST_GATEWAY_HOST = 110
"""Last number of the address behind the first machine's relay."""
RELAYED_EVERY = 2
"""One in so many machines can be cut off."""


class Mesh:
    """The machines, the store that they read, and the faults that can be caused in them.

    Args:
        options: the options of the run.
        directory: directory for settings and standard error.
        tasks: runs the servers of the stand-ins.
    """

    def __init__(self, options: MeshOptions, directory: Path, tasks: anyio.abc.TaskGroup) -> None:
        self.record = MeshRecord()
        self._options = options
        self._directory = directory
        self._tasks = tasks
        self._rate = options.load
        self._next_life = 0
        self._version = 0
        network = _pick_network()
        shape = options.shape
        services = [service for service in shape.services for _ in range(service.backends)]
        self._machines = {
            f"m{index}": Machine(
                f"{network}.{index + FIRST_HOST}", shape.zones[index % len(shape.zones)], service
            )
            for index, service in enumerate(services)
        }
        for index in range(0, len(services), RELAYED_EVERY):
            self._machines[f"m{index}"].gateway_host = f"{network}.{index + FIRST_GATEWAY_HOST}"
        self._allocator = PortAllocator()
        machines = self._machines.values()
        hosts = sorted({host for item in machines for host in (item.host, item.gateway_host)})
        self._ports = MachinePorts(
            *(self._allocator.allocate(*hosts).port for _ in MachinePorts.__struct_fields__)
        )
        self._store = MetadataStore()
        self._store_listener = Listener(self._store.application, Address("127.0.0.1", 0))
        self._template = options.template.read_text(encoding="utf-8")

    @property
    def machine_names(self) -> list[str]:
        """The names of the machines."""
        return list(self._machines)

    @property
    def service_names(self) -> list[str]:
        """The names of the services."""
        return [service.name for service in self._options.shape.services]

    @property
    def relayed_machines(self) -> list[str]:
        """The names of the machines that can be cut off."""
        return [name for name, item in self._machines.items() if item.gateway_host != item.host]

    @property
    def without(self) -> frozenset[str]:
        """Lanes and faults of answers that are left out."""
        return self._options.without

    def machines_of(self, service: str) -> list[str]:
        """Return the machines whose back ends are of a service."""
        return [name for name, item in self._machines.items() if item.service.name == service]

    # Start and end

    async def start(self) -> None:
        """Start the store, all back ends and all nodes.

        Raises:
            LabError: a node did not start.
        """
        await self._store_listener.open(self._tasks)
        for name in self.relayed_machines:
            await self._start_relays(self._machines[name])
        self.edit_configuration(1.0)
        for name, machine in self._machines.items():
            address = Address(machine.host, self._ports.outbound)
            chooser = Random(f"callers:{name}:{self._options.seed}")
            machine.callers = NodeCallers(name, address, self.record, chooser)
            await self._start_backend(machine)
        limiter = anyio.CapacityLimiter(MAX_CONCURRENT_STARTS)

        async def start_node(name: str) -> None:
            async with limiter:
                await self._start_node(name)

        async with anyio.create_task_group() as starts:
            for name in self._machines:
                starts.start_soon(start_node, name)
        await anyio.sleep(LISTED_SECONDS)

    async def _start_relays(self, machine: Machine) -> None:
        inbound, store = self._ports.inbound, self._ports.store
        machine.links = MachineLinks(
            CuttableRelay(Address(machine.host, inbound), Address(machine.gateway_host, inbound)),
            CuttableRelay(Address(machine.host, store), self._store_listener.address),
        )
        await machine.links.open(self._tasks)

    async def end(self) -> None:
        """Kill all nodes and close the stand-ins."""
        with anyio.CancelScope(shield=True):
            for machine in self._machines.values():
                machine.scope.cancel()
                await machine.callers.close()
                if machine.process is not None:
                    await machine.process.kill()
        self._store_listener.close()

    async def call_until(self, until: float) -> None:
        """Send requests of the callers at every node until a time of the event loop's clock."""
        async with anyio.create_task_group() as calls:
            for name in self._machines:
                calls.start_soon(self._call_node, name, calls, until)

    async def _call_node(self, name: str, calls: anyio.abc.TaskGroup, until: float) -> None:
        machine, shape = self._machines[name], self._options.shape
        chooser = Random(f"load:{name}:{self._options.seed}")
        weights = [kind.weight for kind in shape.kinds]
        per_node = shape.calls_per_second / len(self._machines)
        while anyio.current_time() < until:
            await anyio.sleep(chooser.expovariate(per_node * self._rate))
            calls.start_soon(machine.callers.call, chooser.choices(shape.kinds, weights)[0])

    # Back ends

    async def _start_backend(self, machine: Machine) -> None:
        """Start a new life of the back end at a machine and list it."""
        self._next_life += 1
        name = f"i-{self._next_life:04}"
        chooser = Random(f"{name}:{self._options.seed}")
        machine.backend = MeshBackend(
            name,
            machine.service,
            self._options.shape,
            self.record,
            chooser,
            machine.callers.call_nested,
        )
        machine.scope, machine.closed = anyio.CancelScope(), anyio.Event()
        await self._tasks.start(self._serve_backend, machine)
        self._list_backend(machine, "ready")

    async def _serve_backend(
        self, machine: Machine, *, task_status: anyio.abc.TaskStatus[None]
    ) -> None:
        backend = machine.backend
        listener = await anyio.create_tcp_listener(
            local_host=machine.host, local_port=self._ports.application
        )
        with machine.scope:
            async with listener:
                task_status.started()
                await listener.serve(backend.serve)
        machine.closed.set()

    async def _end_backend(self, machine: Machine) -> None:
        """End the back end at a machine: its executions stop and its connections are reset."""
        machine.scope.cancel()
        await machine.closed.wait()

    def _list_backend(self, machine: Machine, state: str) -> None:
        entry = encode_entry(machine, self._ports, state)
        self._store.put(f"{ENTRIES}{machine.backend.name}", entry)

    def set_answer_faults(self, machine: str, faults: AnswerFaults) -> None:
        """Replace the faults of a back end's answers."""
        self.record.note_fault("answers", f"{machine} {faults}")
        self._machines[machine].backend.faults = faults

    def set_refusing(self, service: str, refusing: bool) -> None:
        """Let the service's back ends refuse every request, or end that."""
        self.record.note_fault("refusing", f"{service} {'begins' if refusing else 'ends'}")
        for machine in self.machines_of(service):
            self._machines[machine].backend.refusing = refusing

    async def crash_backend(self, machine: str, downtime: float, unlisted_after: float) -> None:
        """End a back end and start another life at its address after ``downtime`` seconds."""
        item = self._machines[machine]
        async with item.backend_busy, anyio.create_task_group() as tasks:
            former = item.backend.name
            self.record.note_fault("crash", f"{machine} {former}")
            await self._end_backend(item)
            tasks.start_soon(self._unlist_later, former, unlisted_after)
            await anyio.sleep(downtime)
            await self._start_backend(item)

    async def _unlist_later(self, name: str, seconds: float) -> None:
        await anyio.sleep(seconds)
        self._store.remove(f"{ENTRIES}{name}")

    async def freeze_backend(self, machine: str, seconds: float) -> None:
        """Freeze a back end for a while."""
        backend = self._machines[machine].backend
        self.record.note_fault("freeze", f"{machine} {backend.name}")
        backend.freeze()
        await anyio.sleep(seconds)
        self.record.note_fault("resume", f"{machine} {backend.name}")
        backend.resume()

    async def drain_backend(self, machine: str, seconds: float) -> None:
        """Let a back end leave and another life follow after ``seconds``."""
        item = self._machines[machine]
        async with item.backend_busy:
            self.record.note_fault("drain", f"{machine} {item.backend.name}")
            self._list_backend(item, "draining")
            await anyio.sleep(seconds)
            await self._unlist_and_end_backend(item)
            await self._start_backend(item)

    async def _unlist_and_end_backend(self, machine: Machine) -> None:
        self._store.remove(f"{ENTRIES}{machine.backend.name}")
        await self._end_backend(machine)

    def set_rate(self, factor: float) -> None:
        """Multiply the rate of new requests."""
        self.record.note_fault("rate", str(round(factor, 2)))
        self._rate = self._options.load * factor

    # Nodes

    async def _start_node(self, name: str) -> None:
        machine = self._machines[name]
        path = self._directory / f"{name}.toml"
        path.write_text(self._settings(name, machine), encoding="utf-8")
        arguments = ["lab", "store-node", "--settings", str(path)]
        process = LabProcess(name, arguments, self._directory, self._keep_line, _is_serving)
        machine.process = process
        await process.start(self._tasks)
        await process.wait_ready()

    async def signal_node(self, machine: str, number: signal.Signals) -> None:
        """Send a signal to a node's process."""
        item = self._machines[machine]
        self.record.note_fault(number.name, machine)
        if item.process is not None and not item.busy.locked():
            item.process.send_signal(number)

    async def restart_node(self, machine: str, number: signal.Signals, downtime: float) -> None:
        """End a node's process by a signal and start it again ``downtime`` seconds later."""
        item = self._machines[machine]
        async with item.busy:
            assert item.process is not None
            self.record.note_fault(number.name, machine)
            item.process.send_signal(number)
            await _wait_or_kill(item.process)
            await anyio.sleep(downtime)
            await self._start_node(machine)

    async def replace_machine(self, machine: str, downtime: float) -> None:
        """Stop a machine as planned and put another in its place ``downtime`` seconds later.

        The back end is listed as leaving when the node gets SIGTERM, and ends after the node.
        """
        item = self._machines[machine]
        async with item.busy, item.backend_busy:
            assert item.process is not None
            self.record.note_fault("replacement", f"{machine} {item.backend.name}")
            self._list_backend(item, "draining")
            item.process.send_signal(signal.SIGTERM)
            await _wait_or_kill(item.process)
            await self._unlist_and_end_backend(item)
            await anyio.sleep(downtime)
            await self._start_backend(item)
            await self._start_node(machine)

    def _keep_line(self, name: str, line: bytes) -> None:
        if b'"request"' not in line:
            return
        request = msgspec.json.decode(line, type=_RequestLine).request
        self.record.note_node_line(name, request, line.decode(errors="replace").strip())

    def _settings(self, name: str, machine: Machine) -> str:
        links, slack = machine.links, self._options.shape.retry_slack
        store = self._store_listener.address if links is None else links.to_store.listen
        fields = settings_fields(name, machine, self._ports, str(store), slack)
        return fill_template(self._template, fields)

    def set_cut(self, machine: str, incoming: bool, outgoing: bool) -> None:
        """Cut a relayed machine off from the store and from other nodes' requests, or heal it."""
        links = self._machines[machine].links
        assert links is not None
        self.record.note_fault("cut", f"{machine} incoming {incoming}, outgoing {outgoing}")
        links.set_cut(incoming, outgoing)

    # The operator

    def edit_configuration(self, timeout_factor: float) -> None:
        """Write a new version in which the routes' time-outs are multiplied."""
        self._version += 1
        self.record.note_fault("edit", f"version {self._version}, time-outs x {timeout_factor:.2f}")
        content = encode_configuration(self._options.shape, self._version, timeout_factor)
        self._store.put(CONFIGURATION_KEY, content)

    def evacuate(self, zone_index: int, active: bool) -> None:
        """Begin or end the evacuation of a zone."""
        zone = self._options.shape.zones[zone_index]
        self.record.note_fault("evacuation", f"{zone} {'begins' if active else 'ends'}")
        if active:
            self._store.put(f"{EVACUATIONS}{zone}", b"{}")
        else:
            self._store.remove(f"{EVACUATIONS}{zone}")


class _RequestLine(msgspec.Struct):
    """The field of a node's log line that names a request."""

    request: str = ""


async def _wait_or_kill(process: LabProcess) -> None:
    with anyio.move_on_after(STOP_TIMEOUT_SECONDS):
        await process.wait_for_exit()
    await process.kill()


def _pick_network() -> str:
    """Return the first three numbers of a random loopback network, so that meshes may coexist."""
    random = SystemRandom()
    return f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"


def _is_serving(line: bytes) -> bool:
    return b'"NODE_SERVING"' in line
