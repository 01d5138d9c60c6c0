"""Edits and restores of the simulated machine list by control requests."""

import unittest

import msgspec

from pewtertack.lab.machines.service import MachineListService
from pewtertack.settings import Address
from tests.lab.asgi_client import call

ANY = Address("127.0.0.1", 0)
MACHINE = {"role": "backend", "zone": "yaba", "address": "127.0.0.1:9", "service": "logbook"}


class MachineListServiceTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.list = MachineListService({"m1": MACHINE}, ANY, ANY)

    async def control(self, method: str, path: str, value: object = None) -> int:
        application = self.list.service.control.application
        return (await call(application, method, path, msgspec.json.encode(value))).status

    async def machines(self) -> dict[str, dict[str, str]]:
        reply = await call(self.list.service.readers.application, "GET", "/v1/machines")
        machines: dict[str, dict[str, str]] = msgspec.json.decode(reply.body)["machines"]
        return machines

    async def test_machines_are_added_marked_leaving_and_removed(self) -> None:
        self.assertEqual(await self.control("PUT", "/machines/m2", MACHINE), 200)
        self.assertEqual(await self.control("POST", "/leaving/m1"), 200)
        machines = await self.machines()
        self.assertEqual(machines["m1"]["state"], "leaving")
        self.assertEqual(await self.control("DELETE", "/machines/m1"), 200)
        self.assertEqual(list(await self.machines()), ["m2"])

    async def test_invalid_entries_are_refused(self) -> None:
        self.assertEqual(await self.control("PUT", "/machines/m2", {"role": "king"}), 400)
        self.assertEqual(await self.control("DELETE", "/machines/m9"), 400)
        self.assertEqual(list(await self.machines()), ["m1"])

    async def test_after_a_restore_differing_entries_are_written_again(self) -> None:
        await self.control("POST", "/leaving/m1")
        await self.control("PUT", "/machines/m2", MACHINE)
        written = await self.machines()
        self.assertEqual(await self.control("POST", "/away"), 200)
        unreachable = await call(self.list.service.readers.application, "GET", "/v1/machines")
        self.assertEqual(unreachable.status, 503)
        self.assertEqual(await self.control("POST", "/return?copied_at=0"), 200)
        self.assertEqual(list(await self.machines()), ["m1"])
        self.assertNotIn("state", (await self.machines())["m1"])
        await self.control("POST", "/leaving/m2")
        self.assertEqual(await self.control("POST", "/write-again"), 200)
        written["m2"] = {**written["m2"], "state": "leaving"}
        self.assertEqual(await self.machines(), written)
