"""The published schema and the tables of the documentation match the model."""

import json
import re
import unittest

from tools.write_reference import CONFIGURATION_PAGE, SCHEMA_FILE, page_with_tables, schema_text

from pewtertack.core.configuration.model import ROUTE_SETTINGS, SERVICE_SETTINGS
from pewtertack.core.configuration.resolved import WorkClass
from pewtertack.core.configuration.schema import json_schema
from pewtertack.core.configuration.values import check_value

HINT = "run tools/write_reference.py"


class ReferenceTest(unittest.TestCase):
    def test_the_committed_schema_is_up_to_date(self) -> None:
        self.assertEqual(schema_text(), SCHEMA_FILE.read_text(), HINT)

    def test_the_tables_of_the_documentation_are_up_to_date(self) -> None:
        page = CONFIGURATION_PAGE.read_text()
        self.assertEqual(page_with_tables(page), page, HINT)

    def test_built_in_defaults_are_accepted_values(self) -> None:
        for setting in (*ROUTE_SETTINGS.values(), *SERVICE_SETTINGS.values()):
            if setting.default is not None:
                self.assertEqual([], list(check_value(setting, setting.default, ())))

    def test_the_schema_lists_every_setting_and_allows_no_other(self) -> None:
        properties = json_schema()["properties"]
        route = properties["routes"]["additionalProperties"]
        self.assertEqual(set(ROUTE_SETTINGS), set(route["properties"]))
        self.assertEqual([work.value for work in WorkClass], route["properties"]["class"]["enum"])
        self.assertEqual(properties["zones"]["additionalProperties"]["additionalProperties"], False)

    def test_patterns_compile_and_match_whole_values_only(self) -> None:
        patterns = re.findall(r'"pattern": ("[^\n]*")', schema_text())
        self.assertTrue(patterns)
        for pattern in map(json.loads, patterns):
            self.assertIsNone(re.search(pattern, "\ta"))
            self.assertIsNone(re.search(pattern, "a\t"))


if __name__ == "__main__":
    unittest.main()
