"""The configuration source and the machine list in the lab's own process."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator
from typing import Any

import anyio

from pewtertack.lab.machines.service import MachineListService
from pewtertack.lab.source.service import ConfigurationSource
from pewtertack.settings import Address

ANY_ADDRESS = Address("127.0.0.1", 0)


@contextlib.asynccontextmanager
async def platform_services(
    tree: dict[str, Any], machines: dict[str, Any]
) -> AsyncIterator[tuple[str, str]]:
    """Run the configuration source and the machine list; yield their ``ip:port`` for nodes."""
    source = ConfigurationSource(tree, ANY_ADDRESS, ANY_ADDRESS).service
    listed = MachineListService(machines, ANY_ADDRESS, ANY_ADDRESS).service
    async with anyio.create_task_group() as tasks, contextlib.AsyncExitStack() as stack:
        for service in (source, listed):
            await service.open(tasks)
            stack.callback(service.readers.close)
            stack.callback(service.control.close)
        stack.callback(tasks.cancel_scope.cancel)
        yield str(source.readers.address), str(listed.readers.address)
