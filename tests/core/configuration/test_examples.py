"""The example trees of both deployments are valid and resolve in every zone."""

import tomllib
import unittest
from pathlib import Path

from pewtertack.core.configuration.resolution import resolve_document
from pewtertack.core.configuration.resolved import WorkClass
from pewtertack.core.configuration.validation import check_document
from pewtertack.core.revision import revision_id_of

EXAMPLES = Path(__file__).resolve().parents[3] / "examples"
ZONES = {
    "lagos": ("ikeja", "yaba", "lekki", "surulere"),
    "kolkata": ("salt-lake", "new-town", "howrah", "garia"),
}
NEVER_REPEATED = {"lagos": "confirm", "kolkata": "legal-hold"}
CLASSES = {
    "lagos": set(WorkClass),
    "kolkata": set(WorkClass) - {WorkClass.BACKGROUND},
}


class ExampleTreeTest(unittest.TestCase):
    def test_trees_are_valid_and_resolve_in_every_zone(self) -> None:
        for deployment, zones in ZONES.items():
            text = (EXAMPLES / deployment / "tree.toml").read_text()
            document = tomllib.loads(text)
            self.assertEqual((), check_document(document))
            self.assertEqual(set(zones), set(document["zones"]))
            for zone in zones:
                with self.subTest(deployment=deployment, zone=zone):
                    resolved = resolve_document(document, revision_id_of(1, document), zone)
                    routes = {route.name: route for route in resolved.routes}
                    self.assertFalse(routes[NEVER_REPEATED[deployment]].repeatable)
                    classes = {route.work_class for route in resolved.routes}
                    self.assertEqual(CLASSES[deployment], classes)


if __name__ == "__main__":
    unittest.main()
