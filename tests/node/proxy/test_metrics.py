"""Metrics of the request path."""

from typing import Any

from pewtertack.node.counting import MetricsRegistry
from pewtertack.node.exposition import Exposition
from tests.node.proxy.harness import ProxyTestCase, raw_call, request_bytes, respond
from tests.routing.samples import configuration, route


class MetricsTest(ProxyTestCase):
    async def test_requests_are_counted_by_route_class_and_result(self) -> None:
        async def answer(scope: Any, receive: Any, send: Any) -> None:
            await respond(send)

        registry = MetricsRegistry()
        settings = configuration(route(path_prefix="/a"), route("b", path_prefix="/b"))
        address = await self.start(answer, settings=settings, registry=registry)
        exposition = Exposition(registry)
        for path in ("/a", "/a", "/b", "/c"):
            await raw_call(address, request_bytes(path=path))
        self.proxy.set_serving(False)
        await raw_call(address, request_bytes(path="/a"))

        def value(route_name: str, result: str, work_class: str = "interactive") -> float | None:
            labels = {"route": route_name, "work_class": work_class, "result": result}
            return exposition.value("pewtertack_requests_total", labels)

        self.assertEqual((value("lookup", "answered"), value("b", "answered")), (2, 1))
        self.assertEqual(value("none", "route-not-found", "none"), 1)
        self.assertEqual(value("none", "not-serving", "none"), 1)
        text = exposition.render().decode()
        self.assertIn('pewtertack_request_seconds_count{route="lookup"', text)
        self.assertIn('pewtertack_backend_limit{backend="b0",service="logbook"}', text)
