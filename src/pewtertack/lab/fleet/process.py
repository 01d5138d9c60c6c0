"""One process of a fleet: start, ready line, output, signals, end."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from collections.abc import Callable, Sequence
from pathlib import Path

import anyio
import anyio.abc
from anyio.streams.buffered import BufferedByteReceiveStream

from pewtertack.lab.errors import FleetTimeoutError, ProcessFailedError

COMMAND = (sys.executable, "-m", "pewtertack")
MAX_LINE_BYTES = 4 * 1024 * 1024
READY_SECONDS = 30.0
ERROR_TAIL_BYTES = 2000
ENDING_SIGNALS = (signal.SIGKILL, signal.SIGTERM)

LineHandler = Callable[[str, bytes], None]
"""Takes the process's name and one line of its standard output."""


class LabProcess:
    """A process that the lab started, and the only one that it ever signals here.

    Args:
        name: the process's name in the fleet.
        arguments: arguments of the ``pewtertack`` command.
        directory: takes the file of the process's standard error.
        handle_line: gets each line of standard output.
        is_ready_line: tells the line that says that the process is ready.
    """

    def __init__(
        self,
        name: str,
        arguments: Sequence[str],
        directory: Path,
        handle_line: LineHandler,
        is_ready_line: Callable[[bytes], bool],
    ) -> None:
        self.name = name
        self._arguments = (*COMMAND, *arguments)
        self._error_path = directory / f"{name}.stderr"
        self._handle_line = handle_line
        self._is_ready_line = is_ready_line
        self._ready = anyio.Event()
        self._ended = anyio.Event()
        self._process: anyio.abc.Process | None = None
        self.exit_expected = False
        """Whether the lab has asked the process to end."""

    @property
    def is_running(self) -> bool:
        """Whether the process has been started and has not ended."""
        return self._process is not None and self._process.returncode is None

    @property
    def exit_code(self) -> int | None:
        """The exit code, negative for a signal; None while it runs."""
        return self._process.returncode if self._process else None

    @property
    def pid(self) -> int:
        """The process id."""
        assert self._process is not None, f"{self.name} was not started"
        return self._process.pid

    async def start(self, task_group: anyio.abc.TaskGroup) -> None:
        """Start the process; its output is read in ``task_group``."""
        with self._error_path.open("ab") as errors:
            self._process = await anyio.open_process(
                self._arguments,
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE,
                stderr=errors,
                start_new_session=True,
                env=os.environ | {"PYTHONUNBUFFERED": "1"},
            )
        task_group.start_soon(self._read_output, self._process)

    async def wait_ready(self, seconds: float = READY_SECONDS) -> None:
        """Wait for the ready line.

        Raises:
            ProcessFailedError: the process ended before.
            FleetTimeoutError: it took longer than ``seconds``.
        """
        with anyio.move_on_after(seconds):
            await self._ready.wait()
        if self._ended.is_set():
            raise ProcessFailedError(f"{self.name} ended early: {self.stderr_tail()}")
        if not self._ready.is_set():
            raise FleetTimeoutError(f"{self.name} was not ready within {seconds:g} s")

    async def wait_for_exit(self) -> int:
        """Wait for the process's end and the end of its output; return its exit code."""
        await self._ended.wait()
        assert self._process is not None, f"{self.name} was not started"
        return await self._process.wait()

    def send_signal(self, number: signal.Signals) -> None:
        """Signal the process; nothing happens once it has ended."""
        if number in ENDING_SIGNALS:
            self.exit_expected = True
        if self.is_running and self._process is not None:
            self._process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process, paused or not, and wait for it."""
        if self._process is None:
            return
        self.send_signal(signal.SIGKILL)
        await self._process.wait()

    def stderr_tail(self) -> str:
        """Return the end of what the process wrote to standard error."""
        if not self._error_path.exists():
            return ""
        return self._error_path.read_bytes()[-ERROR_TAIL_BYTES:].decode(errors="replace")

    async def _read_output(self, process: anyio.abc.Process) -> None:
        assert process.stdout is not None
        stream = BufferedByteReceiveStream(process.stdout)
        try:
            while True:
                line = await stream.receive_until(b"\n", MAX_LINE_BYTES)
                self._take_line(line)
        except (anyio.EndOfStream, anyio.IncompleteRead, anyio.ClosedResourceError):
            pass
        finally:
            with anyio.CancelScope(shield=True):
                await process.wait()
            self._ended.set()
            self._ready.set()

    def _take_line(self, line: bytes) -> None:
        if not self._ready.is_set() and self._is_ready_line(line):
            self._ready.set()
        self._handle_line(self.name, line)
