"""Starts a node's process: binds its sockets first, then imports the rest."""

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
        SettingError: a flag or the settings file is invalid.
    """
    early_signals.block_signals()
    try:
        return _run(path, flags, make_reader)
    finally:
        early_signals.unblock_signals()  # in case the node failed before it handled them


def _run(path: str, flags: Flags, make_reader: ReaderFactory | None) -> int:
    started_at = time.process_time()
    settings = load_settings(path, flags)
    collector.pause()
    import_stubs.install_stubs()
    # Callers that connect during the remaining imports wait instead of being refused.
    sockets = bind_sockets(settings, path)
    import anyio
    import anyio._backends._asyncio  # what ``anyio.run`` would import

    from pewtertack.node.assembly import assemble_node
    from pewtertack.node.daemon import run_node
    from pewtertack.node.event_loop import BoottimeEventLoop

    if settings.log.parts_every is not None:
        return _run_timed(settings, path, sockets, make_reader, flags, started_at)
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
    started_at: float,
) -> int:
    """Run a node that periodically logs the processor time of its parts."""
    import anyio

    from pewtertack.node.assembly import assemble_node
    from pewtertack.node.daemon import run_node
    from pewtertack.node.part_times import PartTimes, TimedLoop, record_every, time_functions

    times = PartTimes(started_at)
    time_functions(times)  # before anything keeps a reference to one of them
    parts = assemble_node(settings, path, sockets, make_reader, flags)
    import_stubs.remove_stubs()
    collector.resume()

    interval = settings.log.parts_every
    assert interval is not None

    async def run() -> int:
        times.end_start()
        record_every(interval.seconds, times, parts.log)
        try:
            return await run_node(parts)
        finally:
            times.record(parts.log)

    return anyio.run(run, backend_options={"loop_factory": lambda: TimedLoop(times)})
