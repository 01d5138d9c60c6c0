"""Two node processes for tests: one reads the platform, the other can only reach the first."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator
from typing import Any

import anyio

from pewtertack.lab.machines.service import MachineListService
from pewtertack.lab.source.service import ConfigurationSource
from pewtertack.settings import Address
from tests.node.processes import UNREACHABLE_ADDRESS, NodeProcess, settings_text

ANY_ADDRESS = Address("127.0.0.1", 0)


@contextlib.asynccontextmanager
async def reader_and_peer(
    tree: dict[str, Any], machines: dict[str, Any]
) -> AsyncIterator[tuple[ConfigurationSource, NodeProcess, NodeProcess]]:
    """Run the platform, node a that reads it and has logged that it listens, and its peer b."""
    source = ConfigurationSource(tree, ANY_ADDRESS, ANY_ADDRESS)
    lists = MachineListService(machines, ANY_ADDRESS, ANY_ADDRESS)
    async with anyio.create_task_group() as tasks:
        await source.service.open(tasks)
        await lists.service.open(tasks)
        platform = (str(source.service.readers.address), str(lists.service.readers.address))
        async with NodeProcess(settings_text("a", "yaba", *platform)) as a:
            ready = await a.wait_event("NODE_READY")
            text = settings_text(
                "b", "ikeja", UNREACHABLE_ADDRESS, UNREACHABLE_ADDRESS, ready["peer"]
            )
            async with NodeProcess(text) as b:
                yield source, a, b
        tasks.cancel_scope.cancel()
        for service in (source.service, lists.service):
            service.readers.close()
            service.control.close()
