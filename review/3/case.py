"""UNASKED: a request is smuggled inside the body of another one.

A client names ``content-length`` among the options of its ``Connection`` header. The node drops
the field that frames the body, and sends the body all the same: the next node takes it for a
request.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import standins  # noqa: E402
from standins import Deployment, Node, Record  # noqa: E402

SERVICES = ["logbook", "archive", "logbook", "archive"]
HOST = "guild.example"
ROUNDS = 10
PAUSE_SECONDS = 0.3
FORGED_CALLER = "forged-service"


def _smuggled_request(backend: str, attempt: str) -> bytes:
    """Return a request in the form in which nodes send one another requests."""
    lines = [
        "GET /award/browse HTTP/1.1",
        f"host: {HOST}",
        f"x-request-id: {attempt}",
        "x-deadline-ms: 1500",
        f"x-pewtertack-backend: {backend}",
        "x-pewtertack-service: archive",
        "x-pewtertack-route: award-browse",
        "x-pewtertack-rank: 0.0",
        "x-pewtertack-objective-ms: 500",
        "x-pewtertack-lateness: allowed",
        f"x-pewtertack-caller-service: {FORGED_CALLER}",
    ]
    return "\r\n".join([*lines, "", ""]).encode()


async def _send(
    deployment: Deployment, node: Node, body: bytes, options: str
) -> tuple[str, int | str]:
    """Send a contest log with ``body``; return its id and the status of its answer."""
    attempt = standins.new_id()
    reader, writer = await deployment.open(node)
    head = (
        f"POST /contest/log HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\n"
        f"X-Deadline-Milliseconds: 1500\r\n{options}Content-Length: {len(body)}\r\n\r\n"
    )
    writer.write(head.encode() + body)
    try:
        status: int | str = (await asyncio.wait_for(standins.read_answer(reader), 3.0)).status
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        status = type(error).__name__
    writer.close()
    return attempt, status


async def case(record: Record, trouble: bool) -> bool:
    """Return whether back ends ran just what clients sent."""
    deployment = Deployment(SERVICES, record)
    routes = [
        standins.route("contest-log", HOST, "/contest/", "archive", Kind="upload"),
        standins.route("award-browse", HOST, "/award/", "archive"),
    ]
    sent: dict[str, bytes] = {}
    answers = []
    archive = [item for item in deployment.backends if item.service == "archive"]
    try:
        await deployment.start(standins.configuration(4, ["logbook", "archive"], routes))
        await asyncio.sleep(1.0)
        options = "Connection: content-length\r\n" if trouble else ""
        for number in range(ROUNDS):
            node = deployment.nodes[number % len(deployment.nodes)]
            backend = archive[number % len(archive)]
            body = _smuggled_request(backend.name, f"smuggled-{number}")
            attempt, status = await _send(deployment, node, body, options)
            record.note(f"client at {node.host}: {attempt} with {len(body)} bytes ends: {status}")
            sent[attempt] = body
            answers.append(status)
            await asyncio.sleep(PAUSE_SECONDS)
    finally:
        deployment.stop()
    held = True
    for run in deployment.runs():
        attempt = run.request.headers.get("x-attempt-id", "")
        caller = run.request.headers.get("x-caller-service")
        if attempt not in sent:
            record.note(f"{run.backend.name} ran {attempt}, which no client sent, for {caller}")
            held = False
        elif run.request.body != sent[attempt]:
            record.note(f"{run.backend.name} ran {attempt} with another body")
            held = False
    if not deployment.runs() and 200 not in answers and not trouble:
        raise standins.CaseError("nothing ran")
    return held


if __name__ == "__main__":
    standins.run_case(case, FOLDER)
