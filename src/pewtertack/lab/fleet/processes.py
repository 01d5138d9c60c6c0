"""Creates the processes of a fleet with their command lines."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path

import msgspec

from pewtertack.events import Event
from pewtertack.lab.fleet.plan import FleetPlan
from pewtertack.lab.fleet.process import LabProcess, LineHandler
from pewtertack.lab.fleet.settings import machines_path, relay_path, settings_path, tree_path
from pewtertack.settings import Address

READY_PREFIX = b'{"ready":'


class _LogLine(msgspec.Struct):
    event: str = ""


def _is_service_ready_line(line: bytes) -> bool:
    return line.startswith(READY_PREFIX)


def _is_node_ready_line(line: bytes) -> bool:
    try:
        return msgspec.json.decode(line, type=_LogLine).event == Event.NODE_READY.name
    except msgspec.MsgspecError:
        return False


class ProcessFactory:
    """Creates the processes of a plan without starting them.

    Args:
        plan: the plan of the fleet.
        directory: the directory of the files that the processes read.
        handle_line: called with each line of their output.
    """

    def __init__(self, plan: FleetPlan, directory: Path, handle_line: LineHandler) -> None:
        self._plan = plan
        self._directory = directory
        self._handle_line = handle_line

    def services(self) -> list[LabProcess]:
        """Create the processes of the platform, the relay if there is one, and the back ends."""
        processes = [self._source(), self._machines()]
        if self._plan.shape.has_relay:
            processes.append(self._relay())
        return processes + [self.backend(name) for name in self._plan.backend_controls]

    def node(self, name: str) -> LabProcess:
        """Create the process of a node."""
        shape = self._plan.shape
        command = (
            ["lab", "weak-node", shape.disabled_mechanism] if shape.disabled_mechanism else ["node"]
        )
        if shape.uses_eras:
            command = ["lab", "era-node", f"--without={shape.disabled_mechanism}"]
        arguments = [*command, "--settings", str(settings_path(self._directory, name))]
        return LabProcess(name, arguments, self._directory, self._handle_line, _is_node_ready_line)

    def backend(self, process: str) -> LabProcess:
        """Create a process that hosts one or more back ends."""
        hosted = self._plan.backends_of(process)
        hosts = [f"--host={backend.name}={backend.address}" for backend in hosted]
        capacity = self._plan.shape.capacity
        limit_options = [
            f"--slots={capacity.slots}",
            f"--connections={capacity.connections}",
            f"--queue={capacity.queue}",
            f"--work-ms={capacity.work_time * 1000}",
            f"--cold-ms={capacity.cold_period * 1000}",
        ]
        control = f"--control={self._plan.backend_controls[process]}"
        return self._create_service(process, ["backend", *hosts, control, *limit_options])

    def load(self, name: str, rate: float, seed: int, nodes: Mapping[str, Address]) -> LabProcess:
        """Create a process of callers; request ids begin with its name."""
        targets = [f"--node={node}={proxy}" for node, proxy in nodes.items()]
        tree = f"--tree={tree_path(self._directory)}"
        options = [f"--rate={rate}", f"--seed={seed}"]
        return self._create_service(name, ["load", tree, *targets, *options, f"--prefix={name}"])

    def persistent_callers(
        self,
        name: str,
        seed: int,
        callers: int,
        nodes: Mapping[str, Address],
        traffic: str,
    ) -> LabProcess:
        """Create a process with ``callers`` callers of each node, with persistent connections."""
        targets = [f"--node={node}={proxy}" for node, proxy in nodes.items()]
        tree = f"--tree={tree_path(self._directory)}"
        options = [f"--callers={callers}", f"--seed={seed}", f"--prefix={name}"]
        options.append(f"--traffic={traffic}")
        return self._create_service(name, ["soak-callers", tree, *targets, *options])

    def _source(self) -> LabProcess:
        tree = f"--tree={tree_path(self._directory)}"
        listen = f"--listen={self._plan.source.listen}"
        control = f"--control={self._plan.source.control}"
        limit = f"--max-readers={self._plan.shape.reader_limit}"
        return self._create_service("source", ["source", tree, listen, control, limit])

    def _machines(self) -> LabProcess:
        file = f"--file={machines_path(self._directory)}"
        listen = f"--listen={self._plan.machines.listen}"
        control = f"--control={self._plan.machines.control}"
        lag = f"--lag={self._plan.shape.machine_list_lag}"
        limit = f"--max-readers={self._plan.shape.reader_limit}"
        return self._create_service("machines", ["machines", file, listen, control, lag, limit])

    def _relay(self) -> LabProcess:
        nodes = f"--nodes={relay_path(self._directory)}"
        return self._create_service(
            "relay", ["relay", nodes, f"--control={self._plan.relay_control}"]
        )

    def _create_service(self, name: str, arguments: list[str]) -> LabProcess:
        return LabProcess(
            name, ["lab", *arguments], self._directory, self._handle_line, _is_service_ready_line
        )
