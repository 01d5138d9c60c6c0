"""Records the history of a run and tracks the state that the lab waits for."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from types import TracebackType

import anyio

from pewtertack.events import Event
from pewtertack.lab.errors import FleetTimeoutError
from pewtertack.lab.records import (
    HistoryFormatError,
    HistoryLine,
    NodeEvent,
    NodeExit,
    NodeKill,
    NodeStart,
    Record,
    RevisionInForce,
    decode_line,
    encode_record,
)

NOT_SERVING_EVENTS = {Event.NODE_JOINING.name, Event.NODE_WOKE.name, Event.NODE_DRAINING.name}


@dataclass(slots=True)
class NodeView:
    """State of a node's latest process according to the history."""

    is_serving: bool = False
    revision: int = 0


@dataclass(slots=True)
class FleetView:
    """State of all nodes according to the history."""

    nodes: dict[str, NodeView] = field(default_factory=dict)
    restores_detected: int = 0
    """Number of times a node has detected a restore of the source."""

    def update(self, line: HistoryLine) -> None:
        """Update the state by one line."""
        match line:
            case NodeStart() | NodeKill() | NodeExit():
                self.nodes[line.node] = NodeView()
            case RevisionInForce():
                self._node(line).revision = line.revision
            case NodeEvent():
                self._update_by_event(line)

    def _update_by_event(self, line: NodeEvent) -> None:
        if line.event == Event.NODE_SERVING.name:
            self._node(line).is_serving = True
        elif line.event in NOT_SERVING_EVENTS:
            self._node(line).is_serving = False
        elif line.event == Event.SOURCE_RETURNED.name:
            self.restores_detected += 1

    def _node(self, line: NodeEvent) -> NodeView:
        return self.nodes.setdefault(line.node, NodeView())


class HistoryRecorder:
    """Writes the lines of all processes and of the lab to one file.

    Args:
        path: the file, replaced if it exists.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open("wb")
        self._changed = anyio.Event()
        self.view = FleetView()
        self.lines: list[HistoryLine] = []
        self.stray_lines: list[str] = []
        """Output lines that are not history lines, prefixed with the name of the process."""

    def __enter__(self) -> HistoryRecorder:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._file.close()

    def record(self, record: Record) -> None:
        """Write a record made by the lab itself."""
        self._write(encode_record(record), record)

    def record_line(self, process: str, line: bytes) -> None:
        """Write a line that a process printed; ready lines of simulated services are left out."""
        if line.startswith(b'{"ready":'):
            return
        try:
            decoded = decode_line(line)
        except HistoryFormatError:
            self.stray_lines.append(f"{process}: {line.decode(errors='replace')}")
            return
        self._write(line, decoded)

    def _write(self, line: bytes, decoded: HistoryLine) -> None:
        self._file.write(line + b"\n")
        self._file.flush()
        self.lines.append(decoded)
        self.view.update(decoded)
        self._changed.set()
        self._changed = anyio.Event()

    async def wait_until(
        self, condition: Callable[[FleetView], bool], seconds: float, description: str
    ) -> None:
        """Wait until ``condition`` holds.

        Raises:
            FleetTimeoutError: it did not hold within ``seconds``.
        """
        with anyio.move_on_after(seconds):
            while not condition(self.view):
                await self._changed.wait()
            return
        raise FleetTimeoutError(f"timed out after {seconds:g} s: {description}")
