"""Filling in the template of a node's settings."""

import unittest

from pewtertack.lab.mesh.template import fill_template

FIELDS = {"Name": "m0", "First": True, "Ports": [7, 8], "Bounds": {"Grace": "6s"}}


class TemplateTest(unittest.TestCase):
    def test_fields_are_replaced_by_their_values(self) -> None:
        for template, expected in (
            ('"{{Name}}"', '"m0"'),
            ("{{First|json}}", "true"),
            ("{{Ports.1}}", "8"),
            ("{{Bounds.Grace}}", "6s"),
            ("{{Absent}}", ""),
            ("{{Ports.2}}", ""),
            ("{{Name.Inner}}", ""),
        ):
            with self.subTest(template):
                self.assertEqual(fill_template(template, FIELDS), expected)

    def test_a_section_is_left_out_without_its_field(self) -> None:
        template = "{{#Bounds.Grace}}a = {{Bounds.Grace}}{{/Bounds.Grace}}{{#Limits}}b{{/Limits}}"
        self.assertEqual(fill_template(template, FIELDS), "a = 6s")
