"""The readers of the store are turned away with silence: their zones go on with an old version."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))

from standins import (
    EXIT_BROKEN,
    EXIT_HELD,
    EXIT_UNUSABLE,
    TROUBLE,
    Fleet,
    Node,
    Record,
    Store,
    call,
    configuration,
    free_ports,
    route,
    run_case,
)

ZONES, NODES_PER_ZONE = 3, 6
SERVICES = ("alpha", "beta")
CONFIG_APPLY, OUTER = 2.0, 5.0
SILENT_SECONDS = 9.0
MAX_SHARE = 0.35
REQUESTS_PER_SECOND = 5


async def _send(record: Record, node: Node, sent: dict[str, tuple[float, Node]]) -> None:
    node.sent += 1
    request = f"{node.name}-{node.sent}"
    sent[request] = (record.now(), node)
    headers = {"X-Attempt-Id": request, "X-Deadline-Milliseconds": "2000"}
    answer = await call(node.outbound, "GET", "/moved/x", headers)
    shown = "no answer" if answer is None else f"{answer[0]} {answer[1].get('x-server-signature')}"
    record.write(f"{request} sent at {sent[request][0]:.3f}: {shown}")


async def _load(record: Record, node: Node, sent: dict[str, tuple[float, Node]]) -> None:
    async with asyncio.TaskGroup() as tasks:
        while True:
            tasks.create_task(_send(record, node, sent))
            await asyncio.sleep(1 / REQUESTS_PER_SECOND)


async def case(record: Record, store: Store, fleet: Fleet) -> int:
    """Play the case; return the exit code."""
    ports = free_ports(6)
    first = [route("moved", "/moved/", "alpha"), route("other", "/other/", "beta")]
    store.put("op/config", configuration(1, first, SERVICES))
    for zone in range(1, ZONES + 1):
        for number in range(1, NODES_PER_ZONE + 1):
            node = await fleet.add(zone, number, SERVICES[number % 2], ports)
            fleet.start(node)
    if not await fleet.wait_ready():
        return EXIT_UNUSABLE
    record.say("all nodes are ready")
    sent: dict[str, tuple[float, Node]] = {}
    loads = [asyncio.ensure_future(_load(record, node, sent)) for node in fleet.nodes]
    await asyncio.sleep(6)

    # Quiet work just before: a version, and an entry that changes.
    store.put("op/config", configuration(2, [*first, route("new", "/new/", "beta")], SERVICES))
    fleet.write_entry(fleet.nodes[0])
    await asyncio.sleep(2)
    readers = {node for node, _ in store.watching}
    record.say(f"reading the store now: {sorted(readers)}")
    if len(readers) > MAX_SHARE * len(fleet.nodes):
        record.say("more nodes read the store than the pages let it turn away")
        return EXIT_UNUSABLE
    turned_away = readers if TROUBLE else set()
    store.silent = set(turned_away)
    record.say(f"the store is silent towards {sorted(turned_away)}")
    await asyncio.sleep(0.5)

    store.put(
        "op/config", configuration(3, [route("moved", "/moved/", "beta"), *first[1:]], SERVICES)
    )
    acknowledged = record.now()
    record.say("version 3, which moves /moved/ from alpha to beta, is acknowledged")
    await asyncio.sleep(SILENT_SECONDS - 0.5)
    store.silent = set()
    record.say("the store answers everyone again")
    await asyncio.sleep(8)
    for load in loads:
        load.cancel()
    await asyncio.sleep(0.5)

    bound = CONFIG_APPLY + OUTER
    late = []
    for run in fleet.runs:
        if run.request not in sent:
            continue
        at, node = sent[run.request]
        if run.service == "alpha" and at > acknowledged and node.name not in turned_away:
            late.append((at - acknowledged, node.name))
    if not late:
        record.say("no request ran by the old version after the acknowledgement")
        return EXIT_HELD
    beyond = [item for item in late if item[0] > bound]
    record.say(
        f"{len(late)} requests from {len({name for _, name in late})} machines that were never"
        f" turned away ran at alpha after the acknowledgement, the last sent {max(late)[0]:.2f} s"
        f" after it; {len(beyond)} later than {bound:g} s (ConfigApply + Outer)"
    )
    return EXIT_BROKEN if beyond else EXIT_HELD


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, case)
