"""Parsing of addresses given to the lab's commands."""

import unittest

from pewtertack.lab.address import parse_address
from pewtertack.lab.errors import LabUsageError
from pewtertack.settings import Address


class ParseAddressTest(unittest.TestCase):
    def test_invalid_addresses_raise_usage_errors(self) -> None:
        self.assertEqual(parse_address("127.0.0.1:7001"), Address("127.0.0.1", 7001))
        for text in ("127.0.0.1", "localhost:1", "127.0.0.1:70000", ":1"):
            with self.subTest(text), self.assertRaisesRegex(LabUsageError, "; accepted: "):
                parse_address(text)
