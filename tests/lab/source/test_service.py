"""Long poll, limit on reads, outages and restores of the source, over real listeners."""

import contextlib
import unittest
from collections.abc import AsyncIterator

import anyio
import httpcore
import msgspec

from pewtertack.lab.source.service import ConfigurationSource
from pewtertack.settings import Address

ANY = Address("127.0.0.1", 0)


@contextlib.asynccontextmanager
async def running_source(
    reader_limit: int = 4,
) -> AsyncIterator[tuple[ConfigurationSource, httpcore.AsyncConnectionPool]]:
    source = ConfigurationSource({"a": 1}, ANY, ANY, reader_limit)
    async with anyio.create_task_group() as task_group, httpcore.AsyncConnectionPool() as pool:
        await source.service.open(task_group)
        yield source, pool
        source.service.readers.close()
        source.service.control.close()


class ConfigurationSourceTest(unittest.IsolatedAsyncioTestCase):
    async def read(
        self, source: ConfigurationSource, pool: httpcore.AsyncConnectionPool, query: str = ""
    ) -> httpcore.Response:
        return await pool.request("GET", f"http://{source.service.readers.address}/v1/tree{query}")

    async def control(
        self,
        source: ConfigurationSource,
        pool: httpcore.AsyncConnectionPool,
        method: str,
        path: str,
        value: object = None,
    ) -> httpcore.Response:
        url = f"http://{source.service.control.address}{path}"
        return await pool.request(method, url, content=msgspec.json.encode(value))

    async def test_waiting_read_returns_the_edit(self) -> None:
        async with running_source() as (source, pool), anyio.create_task_group() as readers:
            first = await self.read(source, pool)
            self.assertEqual(dict(first.headers)[b"etag"], b'"1"')
            unchanged = await self.read(source, pool, "?after=1&wait=0")
            self.assertEqual(unchanged.status, 304)

            async def wait_for_edit() -> None:
                response = await self.read(source, pool, "?after=1&wait=30")
                self.assertEqual(
                    msgspec.json.decode(response.content), {"number": 2, "tree": {"a": 2}}
                )

            readers.start_soon(wait_for_edit)
            edited = await self.control(source, pool, "PUT", "/tree?expected=1", {"a": 2})
            self.assertEqual(edited.status, 200)
            conflict = await self.control(source, pool, "PUT", "/tree?expected=1", {"a": 3})
            self.assertEqual(conflict.status, 409)

    async def test_reads_beyond_the_limit_are_refused_and_counted(self) -> None:
        async with running_source(reader_limit=1) as (source, pool):
            async with anyio.create_task_group() as readers:
                readers.start_soon(self.read, source, pool, "?after=1&wait=30")
                refused = None
                while refused is None or refused.status != 503:
                    refused = await self.read(source, pool, "?after=1")
                self.assertEqual(dict(refused.headers)[b"retry-after"], b"1")
                await self.control(source, pool, "PUT", "/tree", {})
            counters = await self.control(source, pool, "GET", "/counters")
            self.assertEqual(msgspec.json.decode(counters.content)["peak_readers"], 2)

    async def test_outage_refuses_reads_until_cleared(self) -> None:
        async with running_source() as (source, pool):
            await self.control(source, pool, "POST", "/faults", {"availability": "unavailable"})
            self.assertEqual((await self.read(source, pool)).status, 503)
            await self.control(source, pool, "POST", "/faults", {"availability": "closed"})
            with self.assertRaises(httpcore.ConnectError):
                await self.read(source, pool)
            await self.control(source, pool, "POST", "/faults", {})
            self.assertEqual((await self.read(source, pool)).status, 200)

    async def test_unknown_fault_is_refused(self) -> None:
        async with running_source() as (source, pool):
            response = await self.control(source, pool, "POST", "/faults", {"lagg": 1})
            self.assertEqual(response.status, 400)

    async def test_trees_lost_by_a_restore_are_written_again_under_their_numbers(self) -> None:
        async with running_source() as (source, pool):
            for number in (2, 3):
                await self.control(source, pool, "PUT", "/tree", {"a": number})
            await self.control(source, pool, "POST", "/away")
            self.assertEqual((await self.read(source, pool)).status, 503)
            await self.control(source, pool, "POST", "/return?copied_at=0")
            first = await self.read(source, pool)
            self.assertEqual(dict(first.headers)[b"store-era"], b"1")
            self.assertEqual(msgspec.json.decode(first.content), {"number": 1, "tree": {"a": 1}})
            edited = await self.control(source, pool, "PUT", "/tree", {"a": 9})
            self.assertEqual(msgspec.json.decode(edited.content), {"number": 4})
            await self.control(source, pool, "POST", "/write-again")
            now = await self.read(source, pool)
            self.assertEqual(msgspec.json.decode(now.content), {"number": 4, "tree": {"a": 9}})
