"""Reads the status of several nodes concurrently."""

from __future__ import annotations

import time
from typing import ClassVar

import anyio
import httpcore
import msgspec

from pewtertack.errors import SettingsError
from pewtertack.node.status import NodeStatus
from pewtertack.settings.values import Url, ValueProblemError

STATUS_OK = 200
MAX_CONCURRENT_QUERIES = 200
"""Limit of concurrent queries; the timeout of a node starts with its query."""


class AdminUrlError(SettingsError):
    """A value of ``--admin`` is not the URL of an admin interface."""

    code: ClassVar[str] = "admin-url"


class NodeReport(msgspec.Struct, frozen=True):
    """The response of one node; ``problem`` tells why ``status`` is missing.

    ``read_at`` is the Unix time of the response.
    """

    admin: str
    status: NodeStatus | None
    problem: str
    read_at: float


async def read_reports(admins: tuple[str, ...], timeout: float) -> list[NodeReport]:
    """Query all nodes, ``MAX_CONCURRENT_QUERIES`` at a time, each for up to ``timeout`` seconds.

    Raises:
        AdminUrlError: a URL is invalid.
    """
    urls = [_admin_url(admin) for admin in admins]
    reports: dict[str, NodeReport] = {}

    async def read(url: str) -> None:
        async with limiter:
            reports[url] = await _read_report(pool, url, timeout)

    limiter = anyio.CapacityLimiter(MAX_CONCURRENT_QUERIES)
    connections = httpcore.AsyncConnectionPool(max_connections=MAX_CONCURRENT_QUERIES)
    async with connections as pool, anyio.create_task_group() as tasks:
        for url in urls:
            tasks.start_soon(read, url)
    return [reports[url] for url in urls]


def _admin_url(text: str) -> str:
    try:
        return Url.parse(text).text
    except ValueProblemError as error:
        message = f"--admin: {error.problem}; accepted: {error.accepted}"
        raise AdminUrlError(message) from error


async def _read_report(pool: httpcore.AsyncConnectionPool, url: str, timeout: float) -> NodeReport:
    status = None
    problem = ""
    try:
        with anyio.fail_after(timeout):
            response = await pool.request("GET", f"{url}/status")
        if response.status == STATUS_OK:
            status = msgspec.json.decode(response.content, type=NodeStatus)
        else:
            problem = f"responded with status {response.status}"
    except TimeoutError:
        problem = f"no response within {timeout:g} s"
    except msgspec.MsgspecError as error:
        problem = f"not the status of a node: {error}"
    except (httpcore.NetworkError, httpcore.ProtocolError, OSError) as error:
        problem = str(error) or type(error).__name__
    return NodeReport(url, status, problem, time.time())
