"""What logs and metrics tell of a back end's answer that ends an attempt."""

from typing import Any, ClassVar

from pewtertack.events import Event
from pewtertack.node.counting import MetricsRegistry
from pewtertack.node.exposition import Exposition
from pewtertack.node.proxy.edge import EdgeHeaders
from tests.node.gateway.recording import RecordedRequestsTestCase, RecordingBackend
from tests.node.gateway.test_gateway import POST
from tests.node.gateway.test_late_refusals import (
    ANONYMOUS_EDGE,
    LateRefusalBackend,
    UnidentifiedRefusalBackend,
)
from tests.node.proxy.harness import raw_call

OTHER_POST = POST.replace(b"call-1", b"call-2")
METRIC = "pewtertack_gateway_rejected_answers_total"


class RejectedAnswersTestCase(RecordedRequestsTestCase):
    extra_arguments: ClassVar[dict[str, Any]] = {}

    async def asyncSetUp(self) -> None:
        self.failures: list[dict[str, Any]] = []
        self.registry = MetricsRegistry()
        self.extra_arguments.update(log=self.record_event, registry=self.registry)

    def record_event(self, event: Event, **fields: Any) -> None:
        if event is Event.GATEWAY_FAILED:
            self.failures.append(fields)

    async def call(self, backend: RecordingBackend) -> str:
        """Send two requests and return the metrics."""
        address = await self.start_fleet(backend)
        for post in (POST, OTHER_POST):
            await raw_call(address, post)
        return Exposition(self.registry).render().decode()

    def rejected_answers(self) -> list[tuple[str, int, bool, int]]:
        names = ("type", "answer_status", "answer_identified", "exchange_number")
        return [tuple(fields[name] for name in names) for fields in self.failures]


class IdentifiedRefusalTest(RejectedAnswersTestCase):
    async def test_a_refusal_is_reported_with_its_status_and_the_age_of_its_connection(
        self,
    ) -> None:
        text = await self.call(LateRefusalBackend(b"503 Full", 1))
        self.assertEqual(self.rejected_answers(), [("backend-shed", 503, True, 1)])
        labels = 'connection="new",identified="true",reason="backend-shed"'
        self.assertIn(f"{METRIC}{{{labels}}} 1.0", text)

    async def test_an_answer_that_names_no_request_is_reported_on_a_used_connection(self) -> None:
        text = await self.call(UnidentifiedRefusalBackend(b"429 Full"))
        self.assertEqual(self.rejected_answers(), [("crossed-answer", 429, False, 2)])
        labels = 'connection="used",identified="false",reason="crossed-answer"'
        self.assertIn(f"{METRIC}{{{labels}}} 1.0", text)


class AnonymousRefusalTest(RejectedAnswersTestCase):
    edge: ClassVar[EdgeHeaders] = ANONYMOUS_EDGE

    async def test_a_refusal_that_names_no_request_is_reported_as_such(self) -> None:
        text = await self.call(LateRefusalBackend(b"503 Full", 1, identified=False))
        self.assertEqual(self.rejected_answers(), [("backend-shed", 503, False, 1)])
        labels = 'connection="new",identified="false",reason="backend-shed"'
        self.assertIn(f"{METRIC}{{{labels}}} 1.0", text)
