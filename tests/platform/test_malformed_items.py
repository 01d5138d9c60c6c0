"""Items of the store that make no sense: they name nothing and harm no other."""

import json
import unittest
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from pewtertack.core.effects import ReadDocument
from pewtertack.core.eras import TREE_NUMBERS_PER_VERSION
from pewtertack.core.inputs import DocumentRead, DocumentReadFailed, DocumentUnchanged
from pewtertack.core.items import (
    LIST_LENGTH_LIMIT,
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
GOOD = {"i-0": encoded(ENTRY), "i-9": encoded({**ENTRY, "Address": "10.1.0.9:8080"})}
"""Two back ends whose entries stand before and after a spoilt one."""
OTHER_TYPES: tuple[Any, ...] = (None, True, -1, 1.5, 10**40, "", "\x00", [], {}, [ENTRY])
ADDRESSES = ("", "10.1.0.8", "10.1.0.8:", ":80", "10.1.0.8:0", "10.1.0.8:65536", "10.1.0.8:+80")
STRANGE_ADDRESSES = ("host:80", "0.0.0.0:80", "224.0.0.1:80", "10.1.0.300:80", "[::1%\r\n]:80")

json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3),
    max_leaves=5,
)


@st.composite
def mutated_entries(draw: st.DrawFn) -> bytes:
    """An entry with some fields lost or replaced, and perhaps some bytes changed."""
    entry: dict[str, Any] = dict(ENTRY)
    for field in draw(st.lists(st.sampled_from(sorted(ENTRY)), max_size=3)):
        if draw(st.booleans()):
            entry.pop(field, None)
        else:
            entry[field] = draw(json_values | st.sampled_from(ADDRESSES + STRANGE_ADDRESSES))
    value = bytearray(encoded(entry))
    for _ in range(draw(st.integers(0, 3))):
        value[draw(st.integers(0, len(value) - 1))] = draw(st.integers(0, 255))
    return bytes(value)


class SpoiltEntryTest(unittest.TestCase):
    def check_passed_over(self, value: bytes, problem: ItemProblem, name: str = "i-1") -> None:
        alone, _ = parse_entries(GOOD, 8146, 7380)
        document, findings = parse_entries({"i-0": GOOD["i-0"], name: value, **GOOD}, 8146, 7380)
        self.assertEqual(document, alone)
        self.assertEqual([(item.item, item.problem) for item in findings], [(name, problem)])

    def test_a_field_missing_or_of_another_type_names_no_back_end(self) -> None:
        for field in ENTRY:
            lacking = {key: value for key, value in ENTRY.items() if key != field}
            with self.subTest(field):
                self.check_passed_over(encoded(lacking), ItemProblem.FIELD)
            for other in (None, True, [], {}, -1, 1.5):
                with self.subTest(field, other=other):
                    self.check_passed_over(encoded({**ENTRY, field: other}), ItemProblem.FIELD)

    def test_a_value_that_is_none_of_the_known_names_no_back_end(self) -> None:
        strange = {
            "State": ["", "Ready", "gone", "live"],
            "Service": ["", "a b", "\u0000", "x" * 200],
            "Zone": ["", "..", "garia\r\n"],
            "Slots": [0, SLOTS_MAX + 1, 2**63, 10**40],
            "ColdRemaining": ["", "soon", "-1ms", "5", "1e9s", "\u0663s"],
            "Sequence": [-1],
        }
        for field, values in strange.items():
            for value in values:
                with self.subTest(field, value=value):
                    self.check_passed_over(encoded({**ENTRY, field: value}), ItemProblem.FIELD)

    def test_an_address_that_is_none_names_no_back_end_and_no_node(self) -> None:
        for address in ADDRESSES + STRANGE_ADDRESSES:
            with self.subTest(address):
                value = encoded({**ENTRY, "Address": address})
                self.check_passed_over(value, ItemProblem.ADDRESS)

    def test_bytes_that_are_no_text_name_no_back_end(self) -> None:
        for value in (
            b"",
            b"\xff\xfe",
            b'{"Service":"\xff"}',
            b'{"x":' + b"[" * 100_000,
            encoded(ENTRY)[:-1],
        ):
            with self.subTest(value[:20]):
                self.check_passed_over(value, ItemProblem.UNREADABLE)

    def test_a_name_that_no_back_end_may_have_is_not_used(self) -> None:
        for name in ("", "10.1.0.8", "a b", "i-1\r\nx: y", "\u00e9", "x" * 201):
            with self.subTest(name):
                self.check_passed_over(encoded(ENTRY), ItemProblem.NAME, name)

    def test_the_zone_of_a_machine_is_what_its_first_entry_said(self) -> None:
        claim = encoded({**ENTRY, "Zone": "elsewhere"})
        document, findings = parse_entries({**GOOD, "i-5": claim}, 8146, 7380)
        self.assertEqual(document["10.1.0.8"]["zone"], ENTRY["Zone"])
        self.assertIn("i-0", document)
        self.assertEqual([item.problem for item in findings], [ItemProblem.CLAIMED])

    def test_an_address_that_is_used_again_is_no_finding(self) -> None:
        heir = encoded({**ENTRY, "Service": "vault"})
        document, findings = parse_entries({**GOOD, "i-5": heir}, 8146, 7380)
        self.assertEqual(
            (document["i-5"]["service"], document["i-0"]["service"]), ("vault", "desk")
        )
        self.assertEqual(findings, ())

    @given(st.binary(max_size=200) | mutated_entries(), st.text(max_size=8))
    def test_no_entry_raises_or_costs_a_good_one(self, value: bytes, name: str) -> None:
        if name in GOOD:
            name += "x"
        document, findings = parse_entries({**GOOD, name: value}, 8146, 7380)
        alone, _ = parse_entries(GOOD, 8146, 7380)
        for good in alone:
            self.assertEqual(document[good], alone[good])
        self.assertTrue(name in document or len(findings) == 1)
        revision_id_of(1, document)
        machine_list_from_document(1, document)


class SpoiltConfigurationTest(unittest.TestCase):
    @given(st.binary(max_size=300) | json_values.map(lambda value: json.dumps(value).encode()))
    def test_bytes_of_any_kind_give_a_tree_or_a_typed_finding(self, value: bytes) -> None:
        try:
            version, _ = parse_configuration(value)
        except ItemFormatError as error:
            self.assertIn(error.problem, ItemProblem)
        else:
            self.assertGreaterEqual(version, 0)

    def test_a_version_that_no_number_can_tell_is_refused(self) -> None:
        for version in ("r-5", "r1_0", "r" + "9" * 30, "r\u0663", "rr1", "", "r1\n"):
            with self.subTest(version), self.assertRaises(ItemFormatError):
                parse_configuration(encoded({**CONFIGURATION, "Version": version}))

    def test_names_that_would_have_the_tree_refused_are_passed_over(self) -> None:
        zones, findings = valid_evacuated_zones(["garia", "Garia", "..", "a/b"])
        self.assertEqual(zones, ["garia"])
        self.assertEqual(len(findings), 3)
        zones, findings = valid_evacuated_zones([f"z{index}" for index in range(99)])
        self.assertEqual((len(zones), len(findings)), (LIST_LENGTH_LIMIT, 99 - LIST_LENGTH_LIMIT))


class SpoiltItemsReadTest(ProxyTestCase):
    async def asyncSetUp(self) -> None:
        self.store = MetadataStore()
        self.store.put("op/config", encoded(CONFIGURATION))
        for name, value in GOOD.items():
            self.store.put(f"servers/{name}", value)
        self.reader = StoreReader(await self.serve(self.store.application), 8146, 7380)
        self.addAsyncCleanup(self.reader.close)

    async def read(self, kind: DocumentKind, after: int = 0) -> Any:
        return await self.reader.read(ReadDocument(kind, after, 0.0))

    async def test_one_spoilt_entry_leaves_the_list_as_it_is(self) -> None:
        listed = await self.read(MACHINES)
        for value in (b"", b"\xff", b"{}", encoded({**ENTRY, "State": 5})):
            self.store.put("servers/i-1", value)
            changed = await self.read(MACHINES)
            self.assertIsInstance(changed, DocumentRead)
            self.assertEqual(changed.document, listed.document)
            self.assertEqual([item.item for item in changed.findings], ["i-1"])

    async def test_an_item_in_no_known_form_costs_no_other(self) -> None:
        await self.read(MACHINES)
        for form in ({"Value": "no base64!"}, {"Value": 5}, {"Revision": "new"}, {"gone": "yes"}):
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

    async def test_the_last_configuration_that_could_be_read_holds(self) -> None:
        first = await self.read(CONFIG)
        self.store.put("op/config", encoded(CONFIGURATION)[:-9])
        spoilt = await self.read(CONFIG, first.number)
        self.assertEqual((spoilt.number, spoilt.document), (first.number, first.document))
        self.assertEqual([item.item for item in spoilt.findings], ["op/config"])
        self.store.put("op/evacuate/garia", b"\xff")
        evacuated = await self.read(CONFIG, first.number)
        self.assertGreater(evacuated.number, first.number)
        self.assertEqual(evacuated.document["evacuated_zones"], ["garia"])
        self.store.put("op/config", encoded({**CONFIGURATION, "Version": "r21"}))
        mended = await self.read(CONFIG, evacuated.number)
        self.assertEqual(mended.number // TREE_NUMBERS_PER_VERSION, 21)
        self.assertEqual(mended.findings, ())

    async def test_an_older_configuration_is_not_told_for_a_spoilt_newer_one(self) -> None:
        await self.read(CONFIG)
        self.store.put("op/config", b"{")
        held_by_others = 13 * TREE_NUMBERS_PER_VERSION
        self.assertIsInstance(await self.read(CONFIG, held_by_others), DocumentUnchanged)

    async def test_a_configuration_that_nobody_could_read_is_a_failed_read(self) -> None:
        self.store.put("op/config", b"{")
        failed = await self.read(CONFIG)
        self.assertIsInstance(failed, DocumentReadFailed)
        self.assertIn("platform-item", failed.reason)

    async def test_strange_evacuations_are_found_and_the_others_hold(self) -> None:
        self.store.put("op/evacuate/..", b"{}")
        self.store.put("op/evacuate/garia", b"\x00")
        found = await self.read(CONFIG)
        self.assertEqual(found.document["evacuated_zones"], ["garia"])
        self.assertEqual([item.item for item in found.findings], [".."])
