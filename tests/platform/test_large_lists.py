"""Very large lists of machines and zones reach the nodes completely."""

import unittest

from pewtertack.core.configuration.model import LIST_LENGTH_LIMIT
from pewtertack.core.items import valid_evacuated_zones
from pewtertack.core.machines import MachineRole, machine_list_from_document
from pewtertack.core.replication.machine_lists import MachineListReplica
from pewtertack.core.revision import revision_id_of
from pewtertack.platform.entries import parse_entries
from pewtertack.wire.frames import Envelope, FrameReader, encode_frame
from pewtertack.wire.messages import DocumentKind, PackedAnswer, SnapshotAnswer
from pewtertack.wire.packing import pack, unpack
from tests.platform.test_documents import ENTRY, encoded

BACKENDS = 5_000
KEY = b"k" * 32


def entries() -> dict[str, bytes]:
    result = {}
    for number in range(BACKENDS):
        address = f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:8080"
        fields = {**ENTRY, "Address": address, "Slots": 4096, "Service": f"s{number % 240}"}
        result[f"i-{number:08x}"] = encoded(fields)
    return result


class LargeListTest(unittest.TestCase):
    def test_snapshot_to_a_peer_contains_every_entry(self) -> None:
        document, findings = parse_entries(entries(), 8146, 7380)
        self.assertEqual(findings, ())
        revision = revision_id_of(7, document)
        answer = SnapshotAnswer(DocumentKind.MACHINE_LIST, revision, document)
        packed = pack(answer)
        assert packed is not None
        frame = encode_frame(Envelope("a", "10.0.0.1:1", 1, 1, packed), KEY)
        message = FrameReader(KEY).read(frame).message
        assert isinstance(message, PackedAnswer)
        received = unpack(message)
        assert isinstance(received, SnapshotAnswer)
        self.assertEqual(revision_id_of(7, received.document), revision)
        machines = machine_list_from_document(7, received.document).machines
        backends = [machine for machine in machines if machine.role is MachineRole.BACKEND]
        self.assertEqual(len(backends), BACKENDS)
        self.assertEqual({machine.slots for machine in backends}, {4096})

    def test_replica_uses_every_entry(self) -> None:
        document, _ = parse_entries(entries(), 8146, 7380)
        replica = MachineListReplica(0.0)
        replica.offer(0.0, revision_id_of(7, document), document)
        self.assertEqual(len(replica.machines.machines), 2 * BACKENDS)


class ZonesTest(unittest.TestCase):
    def test_evacuations_beyond_the_limit_are_findings(self) -> None:
        names = [f"zone-{number:03d}" for number in range(LIST_LENGTH_LIMIT + 1)]
        zones, findings = valid_evacuated_zones(names[:-1])
        self.assertEqual((zones, findings), (names[:-1], ()))
        zones, findings = valid_evacuated_zones(names)
        self.assertEqual((len(zones), len(findings)), (LIST_LENGTH_LIMIT, 1))
