"""Runs a mesh with faults and judges what ran against what was promised."""

from __future__ import annotations

import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import partial
from pathlib import Path
from random import Random, SystemRandom

import anyio
import anyio.abc
import msgspec

from pewtertack.lab.errors import LabUsageError
from pewtertack.lab.fleet.ports import PortAllocator
from pewtertack.lab.fleet.process import LabProcess
from pewtertack.lab.mesh.backend import AnswerFaults, MeshBackend
from pewtertack.lab.mesh.callers import HOST, NodeCallers
from pewtertack.lab.mesh.faults import LANES, OMITTABLE, STOP_TIMEOUT_SECONDS, run_lane
from pewtertack.lab.mesh.record import MeshRecord, count_statuses
from pewtertack.lab.mesh.shapes import HEALTH_PATH, MeshShape, RequestKind, ServiceShape
from pewtertack.lab.mesh.template import fill_template
from pewtertack.lab.metadata_store.application import MetadataStore
from pewtertack.lab.serving import Listener
from pewtertack.settings import Address

LISTED_SECONDS = 1.5
"""Time for the list of back ends to reach all nodes that serve."""
SETTLE_SECONDS = 4.0
"""Time without faults at the end, in which a refused request might still run."""
MAX_CONCURRENT_STARTS = 4
REGION = "r"
VALUE_BYTES = 1_048_576
LINK_MBPS = 1000.0
BOUNDS = {
    "Drain": "2000ms",
    "Grace": "6s",
    "ConfigApply": "2000ms",
    "RetryBudgetRatio": 0.2,
    "BudgetWindow": "10s",
}
LIMITS = {
    "MaxHeaderBytes": 16384,
    "MaxBodyBytes": 4_194_304,
    "HeaderTimeout": "5s",
    "IdleTimeout": "30s",
}


class MeshOptions(msgspec.Struct, frozen=True):
    """Options of one run.

    Raises:
        LabUsageError: an option is out of range.
    """

    shape: MeshShape
    template: Path
    """The template of the nodes' settings."""
    seed: int
    seconds: float
    """Seconds of faults."""
    load: float = 0.5
    """Factor on the shape's rate of calls."""
    without: frozenset[str] = frozenset()
    """Lanes and faults of answers that are left out, to tell causes apart."""

    def __post_init__(self) -> None:
        """Check the options."""
        if self.seconds <= 0 or self.load <= 0:
            raise LabUsageError("seconds and load must be positive")
        unknown = self.without - OMITTABLE
        if unknown:
            names = ", ".join(sorted(OMITTABLE))
            raise LabUsageError(f"cannot leave out {sorted(unknown)}; accepted: {names}")
        if not self.template.is_file():
            raise LabUsageError(f"no template of settings: {self.template}")


class MeshResult(msgspec.Struct, frozen=True):
    """What a run has found."""

    seed: int
    attempts: int
    statuses: dict[str, int]
    unsafe_runs: int
    """Executions of requests that may not run twice."""
    faults: dict[str, int]
    violations: list[str]
    traces: dict[str, str]
    """All that was recorded of each request whose promise was broken, by id."""

    @property
    def tested(self) -> bool:
        """Whether requests that may run once did run, and others were refused."""
        return self.unsafe_runs > 0 and "503" in self.statuses


class _Machine:
    """A node, the back end beside it and the callers there."""

    def __init__(self, host: str, zone: str, service: ServiceShape) -> None:
        self.host = host
        self.zone = zone
        self.service = service
        self.backend: MeshBackend
        self.callers: NodeCallers
        self.process: LabProcess | None = None
        self.busy = anyio.Lock()
        """Held while the node's process is stopped, paused or started."""
        self.scope = anyio.CancelScope()
        """Ends the back end's connections and its listener."""
        self.closed = anyio.Event()
        """Set once they have ended."""


class _Ports(msgspec.Struct, frozen=True):
    application: int
    inbound: int
    outbound: int
    readiness: int
    peer: int


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
        self._random = Random(f"mesh:{options.seed}")
        self._next_life = 0
        self._version = 0
        subnet = SystemRandom()
        network = f"127.{subnet.randint(10, 250)}.{subnet.randint(1, 250)}"
        shape = options.shape
        services = [service for service in shape.services for _ in range(service.backends)]
        self._machines = {
            f"m{index}": _Machine(
                f"{network}.{index + 10}", shape.zones[index % len(shape.zones)], service
            )
            for index, service in enumerate(services)
        }
        self._allocator = PortAllocator()
        hosts = [machine.host for machine in self._machines.values()]
        self._ports = _Ports(*(self._allocator.allocate(*hosts).port for _ in range(5)))
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
            for machine in self._machines.values():
                calls.start_soon(self._call_node, machine, calls, until)

    async def _call_node(self, machine: _Machine, calls: anyio.abc.TaskGroup, until: float) -> None:
        shape = self._options.shape
        chooser = Random(f"load:{machine.host}:{self._options.seed}")
        weights = [kind.weight for kind in shape.kinds]
        per_node = shape.calls_per_second / len(self._machines)
        while anyio.current_time() < until:
            await anyio.sleep(chooser.expovariate(per_node * self._rate))
            calls.start_soon(machine.callers.call, chooser.choices(shape.kinds, weights)[0])

    # Back ends

    async def _start_backend(self, machine: _Machine) -> None:
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
        self, machine: _Machine, *, task_status: anyio.abc.TaskStatus[None]
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

    async def _end_backend(self, machine: _Machine) -> None:
        """End the back end at a machine: its executions stop and its connections are reset."""
        machine.scope.cancel()
        await machine.closed.wait()

    def _list_backend(self, machine: _Machine, state: str) -> None:
        entry = {
            "Service": machine.service.name,
            "Address": f"{machine.host}:{self._ports.application}",
            "Zone": machine.zone,
            "Version": "v1",
            "State": state,
            "Slots": machine.service.slots,
            "ColdRemaining": "0ms",
            "Sequence": 1,
        }
        self._store.put(f"servers/{machine.backend.name}", msgspec.json.encode(entry))

    def set_answer_faults(self, machine: str, faults: AnswerFaults) -> None:
        """Replace the faults of a back end's answers."""
        self.record.note_fault("answers", f"{machine} {faults}")
        self._machines[machine].backend.faults = faults

    async def crash_backend(self, machine: str, downtime: float, unlisted_after: float) -> None:
        """End a back end and start another life at its address after ``downtime`` seconds."""
        item = self._machines[machine]
        former = item.backend.name
        self.record.note_fault("crash", f"{machine} {former}")
        await self._end_backend(item)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._unlist_later, former, unlisted_after)
            await anyio.sleep(downtime)
            await self._start_backend(item)

    async def _unlist_later(self, name: str, seconds: float) -> None:
        await anyio.sleep(seconds)
        self._store.remove(f"servers/{name}")

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
        self.record.note_fault("drain", f"{machine} {item.backend.name}")
        self._list_backend(item, "draining")
        await anyio.sleep(seconds)
        self._store.remove(f"servers/{item.backend.name}")
        await self._end_backend(item)
        await self._start_backend(item)

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
            with anyio.move_on_after(STOP_TIMEOUT_SECONDS):
                await item.process.wait_for_exit()
            await item.process.kill()
            await anyio.sleep(downtime)
            await self._start_node(machine)

    def _keep_line(self, name: str, line: bytes) -> None:
        if b'"request"' not in line:
            return
        request = msgspec.json.decode(line, type=_RequestLine).request
        self.record.note_node_line(name, request, line.decode(errors="replace").strip())

    def _settings(self, name: str, machine: _Machine) -> str:
        ports, host = self._ports, machine.host
        slack = self._options.shape.retry_slack
        fields = {
            "NodeName": name,
            "IpAddress": host,
            "Zone": machine.zone,
            "Region": REGION,
            "Bootstrap": True,
            "Application": f"{host}:{ports.application}",
            "Service": machine.service.name,
            "InternalPortRange": [ports.peer, ports.peer],
            "ListenAddresses": {
                "Inbound": f"{host}:{ports.inbound}",
                "Outbound": f"{host}:{ports.outbound}",
                "Readiness": f"{host}:{ports.readiness}",
            },
            "Limits": {"BandwidthMbps": LINK_MBPS},
            "Platform": {
                "Address": str(self._store_listener.address),
                "value_bytes": VALUE_BYTES,
            },
            "Bounds": {**BOUNDS, "RetryBudgetSlack": slack},
        }
        return fill_template(self._template, fields)

    # The operator

    def edit_configuration(self, timeout_factor: float) -> None:
        """Write a new version in which the routes' time-outs are multiplied."""
        self._version += 1
        self.record.note_fault("edit", f"version {self._version}, time-outs x {timeout_factor:.2f}")
        content = msgspec.json.encode(self._configuration(timeout_factor))
        self._store.put("op/config", content)

    def evacuate(self, zone_index: int, active: bool) -> None:
        """Begin or end the evacuation of a zone."""
        zone = self._options.shape.zones[zone_index]
        self.record.note_fault("evacuation", f"{zone} {'begins' if active else 'ends'}")
        if active:
            self._store.put(f"op/evacuate/{zone}", b"{}")
        else:
            self._store.remove(f"op/evacuate/{zone}")

    def _configuration(self, timeout_factor: float) -> dict[str, object]:
        shape = self._options.shape
        return {
            "Version": f"r{self._version}",
            "Routes": [_route(kind, shape.max_attempts, timeout_factor) for kind in shape.kinds],
            "Services": [
                {"Name": name, "HealthPath": HEALTH_PATH, "ConnectionLimit": 130}
                for name in self.service_names
            ],
            "Limits": LIMITS,
        }


class _RequestLine(msgspec.Struct):
    """The field of a node's log line that names a request."""

    request: str = ""


def _route(kind: RequestKind, max_attempts: int, timeout_factor: float) -> dict[str, object]:
    return {
        "Name": kind.name,
        "Host": HOST,
        "PathPrefix": kind.path,
        "Kind": kind.kind,
        "Timeout": f"{kind.timeout * timeout_factor * 1000:.0f}ms",
        "TargetLatency": f"{kind.objective * 1000:.0f}ms",
        "Priority": 1,
        "Service": kind.service,
        "MaxAttempts": max_attempts,
    }


def _is_serving(line: bytes) -> bool:
    return b'"NODE_SERVING"' in line


@asynccontextmanager
async def _open_mesh(options: MeshOptions, directory: Path) -> AsyncIterator[Mesh]:
    async with anyio.create_task_group() as tasks:
        mesh = Mesh(options, directory, tasks)
        try:
            await mesh.start()
            yield mesh
        finally:
            await mesh.end()
            tasks.cancel_scope.cancel()


async def run_mesh(options: MeshOptions, directory: Path) -> MeshResult:
    """Run a mesh with faults and judge it.

    Raises:
        LabError: a node did not start.
    """
    async with _open_mesh(options, directory) as mesh:
        until = anyio.current_time() + options.seconds
        async with anyio.create_task_group() as lanes:
            lanes.start_soon(mesh.call_until, until)
            for lane in LANES.keys() - options.without:
                lanes.start_soon(partial(run_lane, mesh, lane, options.seed, until))
        await anyio.sleep(SETTLE_SECONDS)
        return _result(options, mesh.record)


def _result(options: MeshOptions, record: MeshRecord) -> MeshResult:
    violating = record.violating_ids()
    return MeshResult(
        options.seed,
        len(record.attempts),
        count_statuses(record.attempts),
        record.count_runs(),
        dict(sorted(record.faults.items())),
        record.violations(),
        {request_id: record.trace(request_id) for request_id in violating},
    )
