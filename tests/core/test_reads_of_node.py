"""Log events and state of a node's reads of the source."""

import unittest
from random import Random
from typing import Any

from pewtertack.core.effects import Effect, Log, ReadDocument
from pewtertack.core.identity import NodeIdentity
from pewtertack.core.inputs import (
    DocumentRead,
    DocumentReadFailed,
    DocumentUnchanged,
    Input,
    Ticked,
)
from pewtertack.core.node import NodeCore
from pewtertack.core.profile import DIRECT
from pewtertack.core.replication.open_reads import OpenReads
from pewtertack.errors import ReadFailure
from pewtertack.events import Event
from pewtertack.wire.messages import DocumentKind
from tests.core.test_durable_source import DURABLE
from tests.core.test_node import TREE


class ReadsOfNodeTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 0.0
        identity = NodeIdentity("self", "127.0.0.1:1", "a", "", 1000)
        self.core = NodeCore(identity, DIRECT, Random(1), self.now, source=DURABLE)
        self.reads = self.core.replication.reader.open_reads[DocumentKind.CONFIGURATION]

    def handle(self, event: Input) -> list[Effect]:
        return self.core.handle(self.now, event)

    def fail_read(self, failure: ReadFailure | None) -> dict[str, Any]:
        """Fail the oldest read; return the fields of the log event."""
        kind = DocumentKind.CONFIGURATION
        effects = self.handle(DocumentReadFailed(kind, "reason", failure=failure))
        logs = [item for item in effects if isinstance(item, Log)]
        return next(item.fields for item in logs if item.event is Event.SOURCE_FAILED)

    def test_a_failed_read_is_logged_with_its_failure_and_duration(self) -> None:
        self.handle(Ticked())
        assert self.reads.oldest is not None
        self.assertEqual(self.reads.oldest.opened_at, 0.0)
        self.now = 1.5
        fields = self.fail_read(ReadFailure.SLOW)
        self.assertEqual(fields, {"reason": "reason", "failure": "slow", "seconds": 1.5})
        self.assertEqual((self.reads.oldest, self.reads.failure_count), (None, 1))
        self.assertEqual(self.fail_read(None), {"reason": "reason"})
        self.assertEqual(self.reads.failure_count, 2)

    def test_each_of_several_open_reads_has_its_own_start_time(self) -> None:
        kind = DocumentKind.CONFIGURATION
        reads = OpenReads()
        for number in (1, 2, 3):
            reads.open(ReadDocument(kind, 0, 5.0, read_id=number), float(number), 1.0)
        failed = DocumentReadFailed(kind, "reason", read_id=2)
        self.assertEqual(reads.failed(10.0, failed)["seconds"], 8.0)
        self.assertEqual(self.opened_at(reads), [1.0, 3.0])
        reads.answered(1)
        self.assertEqual(self.opened_at(reads), [3.0])
        reads.answered(1)
        self.assertEqual((self.opened_at(reads), len(reads)), ([3.0], 1))

    def opened_at(self, reads: OpenReads) -> list[float]:
        """Return the start times of the open reads, the oldest first."""
        start_times = [read.opened_at for read in reads]
        assert reads.oldest is not None
        self.assertEqual(reads.oldest.opened_at, start_times[0])
        return start_times

    def test_an_answer_resets_the_failures(self) -> None:
        kind = DocumentKind.CONFIGURATION
        for answer in (DocumentUnchanged(kind), DocumentRead(kind, 7, TREE)):
            self.fail_read(ReadFailure.SILENT)
            self.handle(answer)
            self.assertEqual((self.reads.failure_count, self.reads.last_failure), (0, None))


if __name__ == "__main__":
    unittest.main()
