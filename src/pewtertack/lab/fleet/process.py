"""One process of a fleet: start, readiness, output, signals and exit."""

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
READY_TIMEOUT_SECONDS = 30.0
STDERR_TAIL_BYTES = 2000
TERMINATING_SIGNALS = (signal.SIGKILL, signal.SIGTERM)

LineHandler = Callable[[str, bytes], None]
"""Called with the name of the process and one line of its standard output."""


class LabProcess:
    """A process started by the lab. Signals are sent only to this process.

    Args:
        name: the name of the process in the fleet.
        arguments: arguments of the ``pewtertack`` command.
        directory: the directory for the file with standard error.
        handle_line: called with each line of standard output.
        is_ready_line: tells whether a line reports that the process is ready.
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
        self._stderr_path = directory / f"{name}.stderr"
        self._handle_line = handle_line
        self._is_ready_line = is_ready_line
        self._ready = anyio.Event()
        self._exited = anyio.Event()
        self._process: anyio.abc.Process | None = None
        self.exit_expected = False
        """Whether the lab has sent the process a signal that terminates it."""

    @property
    def is_running(self) -> bool:
        """Whether the process has been started and has not exited."""
        return self._process is not None and self._process.returncode is None

    @property
    def exit_code(self) -> int | None:
        """The exit code, negative for a signal; ``None`` before the exit."""
        return self._process.returncode if self._process else None

    @property
    def pid(self) -> int:
        """The process id."""
        assert self._process is not None, f"{self.name} has not been started"
        return self._process.pid

    async def start(self, task_group: anyio.abc.TaskGroup) -> None:
        """Start the process and read its output in ``task_group``."""
        with self._stderr_path.open("ab") as stderr_file:
            self._process = await anyio.open_process(
                self._arguments,
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE,
                stderr=stderr_file,
                start_new_session=True,
                env=os.environ | {"PYTHONUNBUFFERED": "1"},
            )
        task_group.start_soon(self._read_output, self._process)

    async def wait_ready(self, seconds: float = READY_TIMEOUT_SECONDS) -> None:
        """Wait for the ready line.

        Raises:
            ProcessFailedError: the process exited before it was ready.
            FleetTimeoutError: the process was not ready within ``seconds``.
        """
        with anyio.move_on_after(seconds):
            await self._ready.wait()
        if self._exited.is_set():
            raise ProcessFailedError(
                f"{self.name} exited before it was ready: {self.stderr_tail()}"
            )
        if not self._ready.is_set():
            raise FleetTimeoutError(f"{self.name} was not ready within {seconds:g} s")

    async def wait_for_exit(self) -> int:
        """Wait for the exit of the process and the end of its output; return the exit code."""
        await self._exited.wait()
        assert self._process is not None, f"{self.name} has not been started"
        return await self._process.wait()

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process, unless it has exited."""
        if signal_number in TERMINATING_SIGNALS:
            self.exit_expected = True
        if self.is_running and self._process is not None:
            self._process.send_signal(signal_number)

    async def kill(self) -> None:
        """Kill the process, which may be paused, and wait for its exit."""
        if self._process is None:
            return
        self.send_signal(signal.SIGKILL)
        await self._process.wait()

    def stderr_tail(self) -> str:
        """Return the last ``STDERR_TAIL_BYTES`` that the process wrote to standard error."""
        if not self._stderr_path.exists():
            return ""
        return self._stderr_path.read_bytes()[-STDERR_TAIL_BYTES:].decode(errors="replace")

    async def _read_output(self, process: anyio.abc.Process) -> None:
        assert process.stdout is not None
        stream = BufferedByteReceiveStream(process.stdout)
        try:
            while True:
                line = await stream.receive_until(b"\n", MAX_LINE_BYTES)
                self._handle_output_line(line)
        except (anyio.EndOfStream, anyio.IncompleteRead, anyio.ClosedResourceError):
            pass
        finally:
            with anyio.CancelScope(shield=True):
                await process.wait()
            self._exited.set()
            self._ready.set()

    def _handle_output_line(self, line: bytes) -> None:
        if not self._ready.is_set() and self._is_ready_line(line):
            self._ready.set()
        self._handle_line(self.name, line)
