"""Runs generated exchanges through real nodes."""

from __future__ import annotations

import tempfile
from collections import Counter
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from functools import partial
from pathlib import Path
from typing import Any

import anyio
import anyio.abc
import msgspec
from anyio.abc import SocketStream

from pewtertack.lab.exchanges.backend import ExchangeBackend
from pewtertack.lab.exchanges.caller import Received, hold_conversation
from pewtertack.lab.exchanges.judging import find_violations
from pewtertack.lab.exchanges.plan import (
    SAFE_PATH,
    UNSAFE_PATH,
    AnswerFault,
    Conversation,
    generate_conversations,
)
from pewtertack.lab.fleet.plan import FLEET_KEY
from pewtertack.lab.fleet.ports import PortAllocator
from pewtertack.lab.fleet.process import LabProcess
from pewtertack.lab.platform_services import platform_services
from pewtertack.settings import Address

LOOPBACK = "127.0.0.1"
ZONE = "z"
SERVICES = {"a": "ledger", "b": "ledger", "c": "front"}
"""Service of the back end beside each node; all requests go to ``ledger``."""
TARGET = "ledger"
SLOTS = 8
CALLERS = 4
LISTED_SECONDS = 1.0
"""Time for the machine list to reach all nodes that serve."""
MIN_ANSWERED_SHARE = 0.5
"""Share of the exchanges without a fault whose callers must get the back end's answer, for a run to
say something. Others end as a late answer of another exchange crosses theirs."""
TREE: dict[str, Any] = {
    "services": {"ledger": {"ejection_failures": 1000}, "front": {}},
    "routes": {
        "safe": {
            "service": TARGET,
            "path_prefix": SAFE_PATH.rstrip("/"),
            "repeatable": True,
            "retry_limit": 2,
            "retry_budget": 1.0,
        },
        "unsafe": {
            "service": TARGET,
            "path_prefix": UNSAFE_PATH.rstrip("/"),
            "retry_limit": 2,
            "retry_budget": 1.0,
        },
    },
}
SETTINGS = """\
node = {{name = "{name}", zone = "{zone}", region = "r"}}
listen = {{proxy = "{proxy}", gateway = "{gateway}", peer = "{peer}", admin = "127.0.0.1:0"}}
source = {{url = "http://{source}"}}
machines = {{url = "http://{machines}"}}
peers = {{key = "{key}", seeds = [{seeds}]}}
backend = {{address = "{backend}", service = "{service}"}}

[headers]
expected_backend = "x-expected-backend"
caller_service = "x-caller-service"
not_run = "x-not-executed"
identified_answers = true
"""


class ExchangesResult(msgspec.Struct, frozen=True):
    """What a run has found."""

    seed: int
    exchanges: int
    runs: int
    answers: dict[str, int]
    """Number of answers by status, "none" for exchanges without one."""
    plain_answered_share: float
    """Share of the exchanges without a fault that got the back end's answer."""
    violations: list[str]

    @property
    def tested(self) -> bool:
        """Whether enough was served for the result to say something."""
        return self.plain_answered_share >= MIN_ANSWERED_SHARE


async def run_exchanges(seed: int, count: int) -> ExchangesResult:
    """Run ``count`` exchanges that follow from ``seed``, and judge them."""
    conversations = tuple(generate_conversations(seed, count))
    exchanges = {item.id: item for conversation in conversations for item in conversation.exchanges}
    backends = {name: ExchangeBackend(name, exchanges) for name in SERVICES}
    async with _run_nodes(backends) as proxies:
        received = await _hold_conversations(conversations, proxies)
    runs = [run for backend in backends.values() for run in backend.runs]
    answers = Counter(_status_text(item) for item in received)
    return ExchangesResult(
        seed,
        len(exchanges),
        len(runs),
        dict(sorted(answers.items())),
        _plain_answered_share(received),
        find_violations(received, runs),
    )


def _status_text(item: Received) -> str:
    return str(item.answer.status) if item.answer is not None else "none"


def _plain_answered_share(received: Sequence[Received]) -> float:
    plain = [item for item in received if item.exchange.answer.fault is AnswerFault.NONE]
    answered = sum(
        item.answer is not None and item.answer.status == item.exchange.answer.status
        for item in plain
    )
    return round(answered / max(1, len(plain)), 3)


async def _hold_conversations(
    conversations: Sequence[Conversation], proxies: dict[str, Address]
) -> list[Received]:
    received: list[Received] = []
    names = tuple(proxies)

    async def hold_every(first: int) -> None:
        for number in range(first, len(conversations), CALLERS):
            name = names[number % len(names)]
            received.extend(
                await hold_conversation(conversations[number], proxies[name], SERVICES[name])
            )

    async with anyio.create_task_group() as tasks:
        for first in range(CALLERS):
            tasks.start_soon(hold_every, first)
    return received


@asynccontextmanager
async def _run_nodes(backends: dict[str, ExchangeBackend]) -> AsyncIterator[dict[str, Address]]:
    """Run stand-ins, back ends and nodes; yield the address for callers of each node."""
    ports = PortAllocator()
    addresses = {
        kind: {name: ports.allocate(LOOPBACK) for name in SERVICES}
        for kind in ("backend", "gateway", "peer", "proxy")
    }
    async with anyio.create_task_group() as tasks, AsyncExitStack() as stack:
        stack.callback(tasks.cancel_scope.cancel)
        directory = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        for name, backend in backends.items():
            address = addresses["backend"][name]
            listener = await anyio.create_tcp_listener(
                local_host=address.host, local_port=address.port
            )
            tasks.start_soon(_serve, listener, backend)
        platform = platform_services(TREE, _listed(addresses))
        source, machines = await stack.enter_async_context(platform)
        nodes = []
        for name in SERVICES:
            text = _settings(name, source, machines, addresses)
            node = _make_node(name, text, directory)
            nodes.append(node)
            stack.push_async_callback(node.kill)
            await node.start(tasks)
        for node in nodes:
            await node.wait_ready()
        await anyio.sleep(LISTED_SECONDS)
        yield addresses["proxy"]


async def _serve(listener: anyio.abc.Listener[SocketStream], backend: ExchangeBackend) -> None:
    async with listener:
        await listener.serve(backend.serve)


def _listed(addresses: dict[str, dict[str, Address]]) -> dict[str, Any]:
    """Return the machine list: a back end with its gateway beside each node."""
    return {
        f"backend-{name}": {
            "role": "backend",
            "zone": ZONE,
            "address": str(addresses["backend"][name]),
            "service": service,
            "gateway": str(addresses["gateway"][name]),
            "slots": SLOTS,
        }
        for name, service in SERVICES.items()
    }


def _settings(
    name: str, source: str, machines: str, addresses: dict[str, dict[str, Address]]
) -> str:
    seeds = ", ".join(f'"{address}"' for key, address in addresses["peer"].items() if key != name)
    own = {kind: str(by_name[name]) for kind, by_name in addresses.items()}
    return SETTINGS.format(
        name=name,
        zone=ZONE,
        source=source,
        machines=machines,
        key=FLEET_KEY,
        seeds=seeds,
        service=SERVICES[name],
        **own,
    )


def _make_node(name: str, settings: str, directory: Path) -> LabProcess:
    path = directory / f"{name}.toml"
    path.write_text(settings)
    is_serving: Callable[[bytes], bool] = partial(_contains, b'"NODE_SERVING"')
    return LabProcess(name, ["node", "--settings", str(path)], directory, _ignore_line, is_serving)


def _contains(text: bytes, line: bytes) -> bool:
    return text in line


def _ignore_line(name: str, line: bytes) -> None:
    """Ignore a node's log line."""
