"""Tests that invalid options of a series with a slow source are typed errors."""

import math
import unittest
from typing import Any

from pewtertack.lab.errors import LabUsageError, SlowSourceOptionError
from pewtertack.lab.slow_source.options import SlowSourceOptions

VALID_OPTIONS: dict[str, Any] = {"seconds": 30.0, "seed": 1}


class SlowSourceOptionsTest(unittest.TestCase):
    def test_a_value_out_of_range_is_a_typed_error(self) -> None:
        invalid: list[dict[str, Any]] = [
            {"seconds": 0.0},
            {"seconds": math.nan},
            {"seconds": math.inf},
            {"seed": -1},
            {"nodes": 3},
            {"nodes": 25},
            {"bound": 0.0},
            {"bound": math.nan},
        ]
        for change in invalid:
            with self.subTest(change), self.assertRaises(SlowSourceOptionError):
                SlowSourceOptions(**{**VALID_OPTIONS, **change})

    def test_an_unknown_mechanism_is_a_typed_error(self) -> None:
        with self.assertRaises(LabUsageError):
            SlowSourceOptions(**VALID_OPTIONS, without="luck")
