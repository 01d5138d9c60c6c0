"""``pewtertack lab overload`` on the command line."""

import json
import unittest

from typer.testing import CliRunner

from pewtertack.cli.main import app

SHORT = ("lab", "overload", "--gateways", "--returning", "--seconds", "1")


class OverloadCommandTest(unittest.TestCase):
    def worth(self, *arguments: str) -> float:
        result = CliRunner().invoke(app, [*SHORT, *arguments])
        self.assertEqual(result.exit_code, 0, result.output)
        worth = json.loads(result.output)["worth"]
        assert isinstance(worth, float)
        return worth

    def test_chosen_margin_policy_is_simulated(self) -> None:
        uneven = ("--load", "1.2", "--speeds", "0.5,1.4", "--long-share", "0.05")
        self.assertNotEqual(
            self.worth(*uneven, "--margin", "half"), self.worth(*uneven, "--margin", "spread")
        )

    def test_invalid_speeds_are_rejected(self) -> None:
        for speeds in ("", "0", "1,x", "nan", "inf"):
            with self.subTest(speeds=speeds):
                result = CliRunner().invoke(app, [*SHORT, "--speeds", speeds])
                self.assertEqual(result.exit_code, 2)


if __name__ == "__main__":
    unittest.main()
