"""Malformed items of the store are skipped and affect no other item."""

import json
import unittest
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from pewtertack.core.configuration.model import LIST_LENGTH_LIMIT
from pewtertack.core.effects import ReadDocument
from pewtertack.core.eras import TREE_NUMBERS_PER_VERSION
from pewtertack.core.inputs import DocumentRead, DocumentReadFailed, DocumentUnchanged
from pewtertack.core.items import (
    ItemFormatError,
    ItemProblem,
    valid_evacuated_zones,
)
from pewtertack.core.machines import SLOTS_MAX, machine_list_from_document
from pewtertack.core.revision import revision_id_of
from pewtertack.lab.metadata_store.application import MetadataStore
from pewtertack.platform.documents import parse_configuration
from pewtertack.platform.entries import parse_entries
from pewtertack.platform.store import StoreReader
from pewtertack.wire.messages import DocumentKind
from tests.node.proxy.harness import ProxyTestCase
from tests.platform.test_documents import CONFIGURATION, ENTRY, encoded

CONFIG = DocumentKind.CONFIGURATION
MACHINES = DocumentKind.MACHINE_LIST
VALID_ENTRIES = {"i-0": encoded(ENTRY), "i-9": encoded({**ENTRY, "Address": "10.1.0.9:8080"})}
"""Valid entries before and after a malformed one."""
MALFORMED_ADDRESSES = (
    "",
    "10.1.0.8",
    "10.1.0.8:",
    ":80",
    "10.1.0.8:0",
    "10.1.0.8:65536",
    "10.1.0.8:+80",
)
INVALID_ADDRESSES = ("host:80", "0.0.0.0:80", "224.0.0.1:80", "10.1.0.300:80", "[::1%\r\n]:80")

json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3),
    max_leaves=5,
)


@st.composite
def mutated_entries(draw: st.DrawFn) -> bytes:
    """An entry with some fields removed or replaced, and possibly some bytes changed."""
    entry: dict[str, Any] = dict(ENTRY)
    for field in draw(st.lists(st.sampled_from(sorted(ENTRY)), max_size=3)):
        if draw(st.booleans()):
            entry.pop(field, None)
        else:
            entry[field] = draw(
                json_values | st.sampled_from(MALFORMED_ADDRESSES + INVALID_ADDRESSES)
            )
    value = bytearray(encoded(entry))
    for _ in range(draw(st.integers(0, 3))):
        value[draw(st.integers(0, len(value) - 1))] = draw(st.integers(0, 255))
    return bytes(value)


class MalformedEntryTest(unittest.TestCase):
    def check_skipped(self, value: bytes, problem: ItemProblem, name: str = "i-1") -> None:
        expected, _ = parse_entries(VALID_ENTRIES, 8146, 7380)
        document, findings = parse_entries(
            {"i-0": VALID_ENTRIES["i-0"], name: value, **VALID_ENTRIES}, 8146, 7380
        )
        self.assertEqual(document, expected)
        self.assertEqual([(item.item, item.problem) for item in findings], [(name, problem)])

    def test_entry_with_missing_or_mistyped_field_is_skipped(self) -> None:
        for field in ENTRY:
            incomplete = {key: value for key, value in ENTRY.items() if key != field}
            with self.subTest(field):
                self.check_skipped(encoded(incomplete), ItemProblem.FIELD)
            others: tuple[Any, ...] = (None, True, [], {}, -1, 1.5)
            for other in others:
                with self.subTest(field, other=other):
                    self.check_skipped(encoded({**ENTRY, field: other}), ItemProblem.FIELD)

    def test_entry_with_invalid_value_is_skipped(self) -> None:
        invalid_values: dict[str, list[Any]] = {
            "State": ["", "Ready", "gone", "live"],
            "Service": ["", "a b", "\u0000", "x" * 200],
            "Zone": ["", "..", "garia\r\n"],
            "Slots": [0, SLOTS_MAX + 1, 2**63, 10**40],
            "ColdRemaining": ["", "soon", "-1ms", "5", "1e9s", "\u0663s"],
            "Sequence": [-1],
        }
        for field, values in invalid_values.items():
            for value in values:
                with self.subTest(field, value=value):
                    self.check_skipped(encoded({**ENTRY, field: value}), ItemProblem.FIELD)

    def test_entry_with_invalid_address_is_skipped(self) -> None:
        for address in MALFORMED_ADDRESSES + INVALID_ADDRESSES:
            with self.subTest(address):
                value = encoded({**ENTRY, "Address": address})
                self.check_skipped(value, ItemProblem.ADDRESS)

    def test_unreadable_entry_is_skipped(self) -> None:
        for value in (
            b"",
            b"\xff\xfe",
            b'{"Service":"\xff"}',
            b'{"x":' + b"[" * 100_000,
            encoded(ENTRY)[:-1],
        ):
            with self.subTest(value[:20]):
                self.check_skipped(value, ItemProblem.UNREADABLE)

    def test_entry_with_invalid_name_is_skipped(self) -> None:
        for name in ("", "10.1.0.8", "a b", "i-1\r\nx: y", "\u00e9", "x" * 201):
            with self.subTest(name):
                self.check_skipped(encoded(ENTRY), ItemProblem.NAME, name)

    def test_first_entry_determines_the_zone_of_a_machine(self) -> None:
        conflicting = encoded({**ENTRY, "Zone": "elsewhere"})
        document, findings = parse_entries({**VALID_ENTRIES, "i-5": conflicting}, 8146, 7380)
        self.assertEqual(document["10.1.0.8"]["zone"], ENTRY["Zone"])
        self.assertIn("i-0", document)
        self.assertEqual([item.problem for item in findings], [ItemProblem.CLAIMED])

    def test_reused_address_is_no_finding(self) -> None:
        successor = encoded({**ENTRY, "Service": "vault"})
        document, findings = parse_entries({**VALID_ENTRIES, "i-5": successor}, 8146, 7380)
        self.assertEqual(
            (document["i-5"]["service"], document["i-0"]["service"]), ("vault", "desk")
        )
        self.assertEqual(findings, ())

    @given(st.binary(max_size=200) | mutated_entries(), st.text(max_size=8))
    def test_no_entry_raises_or_affects_a_valid_one(self, value: bytes, name: str) -> None:
        if name in VALID_ENTRIES:
            name += "x"
        document, findings = parse_entries({**VALID_ENTRIES, name: value}, 8146, 7380)
        expected, _ = parse_entries(VALID_ENTRIES, 8146, 7380)
        for valid_name in expected:
            self.assertEqual(document[valid_name], expected[valid_name])
        self.assertTrue(name in document or len(findings) == 1)
        revision_id_of(1, document)
        machine_list_from_document(1, document)


class MalformedConfigurationTest(unittest.TestCase):
    @given(st.binary(max_size=300) | json_values.map(lambda value: json.dumps(value).encode()))
    def test_any_bytes_give_a_tree_or_a_typed_error(self, value: bytes) -> None:
        try:
            version, _ = parse_configuration(value)
        except ItemFormatError as error:
            self.assertIn(error.problem, ItemProblem)
        else:
            self.assertGreaterEqual(version, 0)

    def test_invalid_version_is_rejected(self) -> None:
        for version in ("r-5", "r1_0", "r" + "9" * 30, "r\u0663", "rr1", "", "r1\n"):
            with self.subTest(version), self.assertRaises(ItemFormatError):
                parse_configuration(encoded({**CONFIGURATION, "Version": version}))

    def test_invalid_zone_names_are_skipped(self) -> None:
        zones, findings = valid_evacuated_zones(["garia", "Garia", "..", "a/b"])
        self.assertEqual(zones, ["garia"])
        self.assertEqual(len(findings), 3)
        zones, findings = valid_evacuated_zones([f"z{index}" for index in range(99)])
        self.assertEqual((len(zones), len(findings)), (LIST_LENGTH_LIMIT, 99 - LIST_LENGTH_LIMIT))


class MalformedItemsReadTest(ProxyTestCase):
    async def asyncSetUp(self) -> None:
        self.store = MetadataStore()
        self.store.put("op/config", encoded(CONFIGURATION))
        for name, value in VALID_ENTRIES.items():
            self.store.put(f"servers/{name}", value)
        self.reader = StoreReader(await self.serve(self.store.application), 8146, 7380)
        self.addAsyncCleanup(self.reader.close)

    async def read(self, kind: DocumentKind, after: int = 0) -> Any:
        return await self.reader.read(ReadDocument(kind, after, 0.0))

    async def test_malformed_entry_leaves_the_list_unchanged(self) -> None:
        listed = await self.read(MACHINES)
        for value in (b"", b"\xff", b"{}", encoded({**ENTRY, "State": 5})):
            self.store.put("servers/i-1", value)
            changed = await self.read(MACHINES)
            self.assertIsInstance(changed, DocumentRead)
            self.assertEqual(changed.document, listed.document)
            self.assertEqual([item.item for item in changed.findings], ["i-1"])

    async def test_undecodable_item_affects_no_other(self) -> None:
        await self.read(MACHINES)
        forms: tuple[dict[str, object], ...] = (
            {"Value": "no base64!"},
            {"Value": 5},
            {"Revision": "new"},
            {"gone": "yes"},
        )
        for form in forms:
            self.store.put_malformed("servers/i-1", form)
            self.store.put("servers/i-2", encoded({**ENTRY, "Address": "10.1.0.7:8080"}))
            changed = await self.read(MACHINES)
            self.assertIsInstance(changed, DocumentRead, form)
            self.assertEqual(
                [name for name in changed.document if name[0] == "i"], ["i-0", "i-9", "i-2"]
            )
            self.store.remove("servers/i-2")
        self.store.put_malformed("servers/i-1", {"PrivateKey": 5})
        self.store.put("servers/i-2", encoded({**ENTRY, "Address": "10.1.0.7:8080"}))
        self.assertIn("i-2", (await self.read(MACHINES)).document)

    async def test_last_readable_configuration_stays_valid(self) -> None:
        first = await self.read(CONFIG)
        self.store.put("op/config", encoded(CONFIGURATION)[:-9])
        malformed = await self.read(CONFIG, first.number)
        self.assertEqual((malformed.number, malformed.document), (first.number, first.document))
        self.assertEqual([item.item for item in malformed.findings], ["op/config"])
        self.store.put("op/evacuate/garia", b"\xff")
        evacuated = await self.read(CONFIG, first.number)
        self.assertGreater(evacuated.number, first.number)
        self.assertEqual(evacuated.document["evacuated_zones"], ["garia"])
        self.store.put("op/config", encoded({**CONFIGURATION, "Version": "r21"}))
        repaired = await self.read(CONFIG, evacuated.number)
        self.assertEqual(repaired.number // TREE_NUMBERS_PER_VERSION, 21)
        self.assertEqual(repaired.findings, ())

    async def test_older_configuration_is_not_returned_for_a_malformed_newer_one(self) -> None:
        await self.read(CONFIG)
        self.store.put("op/config", b"{")
        held_by_others = 13 * TREE_NUMBERS_PER_VERSION
        self.assertIsInstance(await self.read(CONFIG, held_by_others), DocumentUnchanged)

    async def test_malformed_first_configuration_is_a_failed_read(self) -> None:
        self.store.put("op/config", b"{")
        failed = await self.read(CONFIG)
        self.assertIsInstance(failed, DocumentReadFailed)
        self.assertIn("platform-item", failed.reason)

    async def test_invalid_evacuation_is_a_finding_and_others_apply(self) -> None:
        self.store.put("op/evacuate/..", b"{}")
        self.store.put("op/evacuate/garia", b"\x00")
        result = await self.read(CONFIG)
        self.assertEqual(result.document["evacuated_zones"], ["garia"])
        self.assertEqual([item.item for item in result.findings], [".."])
