"""Log events about invalid items: one per change of a finding, and a limited number."""

import unittest
from random import Random

from pewtertack.core.effects import Effect, Log
from pewtertack.core.identity import NodeIdentity
from pewtertack.core.inputs import DocumentRead
from pewtertack.core.items import (
    LOGGED_MAX,
    REMEMBERED_MAX,
    SHOWN_CHARACTERS_MAX,
    ItemFinding,
    ItemProblem,
    SkippedItems,
)
from pewtertack.core.node import NodeCore
from pewtertack.core.profile import PROFILES
from pewtertack.events import Event
from pewtertack.wire.messages import DocumentKind

MACHINES = DocumentKind.MACHINE_LIST
INVALID = ItemFinding("i-1", ItemProblem.FIELD, "no `Slots`")


def logged(effects: list[Effect]) -> list[dict[str, object]]:
    return [
        effect.fields
        for effect in effects
        if isinstance(effect, Log) and effect.event is Event.ITEM_PASSED_OVER
    ]


class SkippedItemsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.skipped_items = SkippedItems()

    def test_an_item_is_logged_once_per_change_of_its_finding(self) -> None:
        for finding in (INVALID, ItemFinding("i-1", ItemProblem.UNREADABLE), INVALID):
            self.assertEqual(len(self.skipped_items.record(MACHINES, (finding,))), 1)
            self.assertEqual(self.skipped_items.record(MACHINES, (finding,)), [])
        self.assertEqual((self.skipped_items.total_count, self.skipped_items.current_count), (3, 1))

    def test_an_item_that_was_fixed_and_breaks_again_is_logged_again(self) -> None:
        self.skipped_items.record(MACHINES, (INVALID,))
        self.assertEqual(self.skipped_items.record(MACHINES, ()), [])
        self.assertEqual(self.skipped_items.current_count, 0)
        self.assertEqual(len(self.skipped_items.record(MACHINES, (INVALID,))), 1)

    def test_findings_of_different_documents_are_independent(self) -> None:
        self.skipped_items.record(MACHINES, (INVALID,))
        self.skipped_items.record(DocumentKind.CONFIGURATION, ())
        self.assertEqual(self.skipped_items.current_count, 1)

    def test_number_and_length_of_logged_findings_are_limited(self) -> None:
        many = tuple(
            ItemFinding(f"{index}" + "x" * 5000, ItemProblem.NAME, "y" * 5000)
            for index in range(2 * REMEMBERED_MAX)
        )
        events = logged(self.skipped_items.record(MACHINES, many))
        self.assertEqual(len(events), LOGGED_MAX + 1)
        self.assertEqual(events[-1]["further"], REMEMBERED_MAX - LOGGED_MAX)
        self.assertLessEqual(
            max(len(str(value)) for value in events[0].values()), SHOWN_CHARACTERS_MAX
        )
        self.assertEqual(self.skipped_items.record(MACHINES, many), [])
        self.assertEqual(self.skipped_items.current_count, REMEMBERED_MAX)

    def test_the_core_logs_items_that_a_read_skipped(self) -> None:
        identity = NodeIdentity("10.1.0.8", "10.1.0.8:7380", "garia", "kolkata", 1)
        core = NodeCore(identity, PROFILES["leased"], Random(1), 0.0)
        read = DocumentRead(MACHINES, 5, {}, findings=(INVALID,))
        self.assertEqual([item["item"] for item in logged(core.handle(0.1, read))], ["i-1"])
        self.assertEqual(logged(core.handle(0.2, read)), [])
