"""Starts a node's process: binds its sockets first, then loads what serves."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from pewtertack.node import collector, early_signals, import_stubs
from pewtertack.node.sockets import bind_sockets
from pewtertack.settings import load_settings
from pewtertack.settings.loading import Flags

if TYPE_CHECKING:
    from pewtertack.node.assembly import ReaderFactory
    from pewtertack.node.sockets import NodeSockets
    from pewtertack.settings import Settings


def start_node(path: str, flags: Flags, make_reader: ReaderFactory | None = None) -> int:
    """Run a node with the settings file at ``path`` and return its exit code.

    ``make_reader`` replaces the reader of pewtertack's own source interface.

    Raises:
        SettingError: a flag or the settings file is wrong.
    """
    early_signals.block_signals()
    try:
        return _run(path, flags, make_reader)
    finally:
        early_signals.unblock_signals()  # where nothing has begun to act on them


def _run(path: str, flags: Flags, make_reader: ReaderFactory | None) -> int:
    began = time.process_time()
    settings = load_settings(path, flags)
    collector.pause()
    import_stubs.install_stubs()
    # Callers that connect while the rest is imported wait for it, and are not turned away.
    sockets = bind_sockets(settings, path)
    import anyio
    import anyio._backends._asyncio  # what ``anyio.run`` would load

    from pewtertack.node.assembly import assemble_node
    from pewtertack.node.daemon import run_node
    from pewtertack.node.event_loop import BoottimeEventLoop

    if settings.log.parts_every is not None:
        return _run_timed(settings, path, sockets, make_reader, flags, began)
    parts = assemble_node(settings, path, sockets, make_reader, flags)
    import_stubs.remove_stubs()
    collector.resume()
    return anyio.run(run_node, parts, backend_options={"loop_factory": BoottimeEventLoop})


def _run_timed(
    settings: Settings,
    path: str,
    sockets: NodeSockets,
    make_reader: ReaderFactory | None,
    flags: Flags,
    began: float,
) -> int:
    """Run a node that logs from time to time what its parts took."""
    import anyio

    from pewtertack.node.assembly import assemble_node
    from pewtertack.node.daemon import run_node
    from pewtertack.node.part_times import PartTimes, TimedLoop, record_every, time_functions

    times = PartTimes(began)
    time_functions(times)  # before anyone keeps one of them
    parts = assemble_node(settings, path, sockets, make_reader, flags)
    import_stubs.remove_stubs()
    collector.resume()

    every = settings.log.parts_every
    assert every is not None

    async def run() -> int:
        times.end_start()
        record_every(every.seconds, times, parts.log)
        try:
            return await run_node(parts)
        finally:
            times.record(parts.log)

    return anyio.run(run, backend_options={"loop_factory": lambda: TimedLoop(times)})
