"""How long a stopping node gives the requests that it holds."""

import math
import unittest

from pewtertack.node.daemon import EXIT_SECONDS, drain_time
from pewtertack.settings.schema import LimitsSection
from pewtertack.settings.values import Duration


class DrainTimeTest(unittest.TestCase):
    def test_it_is_what_notice_and_exit_leave_of_the_time_to_stop(self) -> None:
        for grace in (6.0, 10.0):
            limits = LimitsSection(stop_within=Duration(grace), drain_notice=Duration(3.0))
            self.assertEqual(drain_time(limits), grace - 3.0 - EXIT_SECONDS)

    def test_the_shorter_of_both_limits_holds(self) -> None:
        limits = LimitsSection(stop_within=Duration(6.0), drain_timeout=Duration(1.0))
        self.assertEqual(drain_time(limits), 1.0)

    def test_without_limits_there_is_no_end(self) -> None:
        self.assertEqual(drain_time(LimitsSection()), math.inf)

    def test_a_notice_longer_than_the_stop_leaves_nothing(self) -> None:
        limits = LimitsSection(stop_within=Duration(1.0), drain_notice=Duration(3.0))
        self.assertEqual(drain_time(limits), 0.0)
