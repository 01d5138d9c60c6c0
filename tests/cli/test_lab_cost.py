"""``pewtertack lab request-cost`` on the command line."""

import unittest

from typer.testing import CliRunner

from pewtertack.cli.main import app
from pewtertack.lab.errors import LabUsageError


class RequestCostCommandTest(unittest.TestCase):
    def test_a_part_that_there_is_not_is_a_typed_error_that_names_those_there_are(self) -> None:
        result = CliRunner().invoke(app, ["lab", "request-cost", "--kind", "nonsense"])
        self.assertIsInstance(result.exception, LabUsageError)
        self.assertIn("refused hop", str(result.exception))


if __name__ == "__main__":
    unittest.main()
