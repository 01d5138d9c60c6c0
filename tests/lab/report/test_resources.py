"""Measurement of processor time and memory from two samples."""

import os
import unittest

from pewtertack.lab.process_statistics import ProcessSample, read_process
from pewtertack.lab.report.resources import (
    ResourceSample,
    resources_between,
)


class ResourcesTest(unittest.TestCase):
    def test_the_own_process_can_be_read(self) -> None:
        own = read_process(os.getpid())
        self.assertGreater(own.processor_seconds, 0.0)
        self.assertGreater(own.resident_bytes, 1_000_000)

    def test_only_processes_in_both_samples_count(self) -> None:
        first = ResourceSample(0.0, {1: ProcessSample(1.0, 0), 2: ProcessSample(9.0, 0)})
        last = ResourceSample(10.0, {1: ProcessSample(1.5, 20_000_000), 3: ProcessSample(5.0, 0)})
        resources = resources_between(first, last)
        self.assertEqual((resources.core_share.count, resources.core_share.max), (1, 0.05))
        self.assertEqual(resources.resident_megabytes.p50, 20.0)
