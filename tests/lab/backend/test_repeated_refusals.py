"""Refusals that a back end sends again, on a real connection."""

import asyncio
import unittest

import anyio

from pewtertack.lab.backend.application import BackendApplication
from pewtertack.lab.backend.repeated_refusals import repeating_protocol
from pewtertack.lab.backend.state import BackendFaults, BackendState, Capacity
from pewtertack.lab.serving import Listener
from pewtertack.settings import Address

REQUEST = b"GET /x HTTP/1.1\r\nhost: a\r\nx-request-id: %s\r\n\r\n"


class RepeatedRefusalsTest(unittest.IsolatedAsyncioTestCase):
    async def exchange(self, faults: BackendFaults) -> list[tuple[bytes, bytes]]:
        """Return status and id of the answers to a refused request and one that runs."""
        state = BackendState(Capacity(), 0.0)
        application = BackendApplication("b", state, lambda _: None)
        listener = Listener(application, Address("127.0.0.1", 0), 10, repeating_protocol(state))
        answers = []
        async with anyio.create_task_group() as tasks:
            await listener.open(tasks)
            reader, writer = await asyncio.open_connection(
                listener.address.host, listener.address.port
            )
            for name in (b"r1", b"r2"):
                state.set_faults(faults if name == b"r1" else clear_shedding(faults), 0.0)
                writer.write(REQUEST % name)
                answers.append(await read_answer(reader))
            if faults.repeated_refusals:
                answers.append(await read_answer(reader))
            writer.close()
            listener.close()
        return answers

    async def test_a_refusal_is_sent_again_before_the_next_answer(self) -> None:
        faults = BackendFaults(shedding_share=1.0, repeated_refusals=True, identified_refusals=True)
        expected = [(b"503", b"r1"), (b"503", b"r1"), (b"200", b"r2")]
        self.assertEqual(await self.exchange(faults), expected)

    async def test_refusals_are_sent_once_without_the_fault(self) -> None:
        expected = [(b"503", b""), (b"200", b"r2")]
        self.assertEqual(await self.exchange(BackendFaults(shedding_share=1.0)), expected)


def clear_shedding(faults: BackendFaults) -> BackendFaults:
    return BackendFaults(repeated_refusals=faults.repeated_refusals)


async def read_answer(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    head = (await reader.readuntil(b"\r\n\r\n")).lower()
    fields = dict(line.split(b": ", 1) for line in head.split(b"\r\n")[1:] if line)
    await reader.readexactly(int(fields[b"content-length"]))
    return head.split(b" ")[1], fields.get(b"x-request-id", b"")
