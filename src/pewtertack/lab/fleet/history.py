"""Writes the history of a run and keeps what the lab waits for."""

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
    """What the history says of one node's newest process."""

    is_up: bool = False
    is_serving: bool = False
    revision: int = 0
    rejected: int = 0
    """The newest revision that it refused."""


@dataclass(slots=True)
class FleetView:
    """What the history says of all nodes."""

    nodes: dict[str, NodeView] = field(default_factory=dict)
    restores_detected: int = 0
    """How often a node has noticed that the source came back from a copy."""

    def update(self, line: HistoryLine) -> None:
        """Take in one line."""
        match line:
            case NodeStart():
                self.nodes[line.node] = NodeView(is_up=True)
            case NodeKill() | NodeExit():
                self.nodes[line.node] = NodeView()
            case RevisionInForce():
                self._node(line).revision = line.revision
            case NodeEvent():
                self._take_event(line)

    def _take_event(self, line: NodeEvent) -> None:
        if line.event == Event.NODE_SERVING.name:
            self._node(line).is_serving = True
        elif line.event in NOT_SERVING_EVENTS:
            self._node(line).is_serving = False
        elif line.event == Event.SOURCE_RETURNED.name:
            self.restores_detected += 1

    def _node(self, line: NodeEvent) -> NodeView:
        return self.nodes.setdefault(line.node, NodeView())


class HistoryRecorder:
    """Appends the lines of all processes and of the lab to one file.

    Args:
        path: the file, replaced if it exists.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open("wb")
        self._changed = anyio.Event()
        self.view = FleetView()
        self.lines: list[HistoryLine] = []
        self.stray_lines: list[str] = []
        """Output that is no line of a history, with the process's name."""

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
        """Write a record of the lab."""
        self._append(encode_record(record), record)

    def record_line(self, process: str, line: bytes) -> None:
        """Write a line that a process printed; ready lines of stand-ins are left out."""
        if line.startswith(b'{"ready":'):
            return
        try:
            decoded = decode_line(line)
        except HistoryFormatError:
            self.stray_lines.append(f"{process}: {line.decode(errors='replace')}")
            return
        self._append(line, decoded)

    def _append(self, line: bytes, decoded: HistoryLine) -> None:
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
            FleetTimeoutError: it did not within ``seconds``.
        """
        with anyio.move_on_after(seconds):
            while not condition(self.view):
                await self._changed.wait()
            return
        raise FleetTimeoutError(f"not within {seconds:g} s: {description}")
