"""Pages generated from reports."""

import tempfile
import unittest
from pathlib import Path

from pewtertack.lab.pages.inputs import ReportFileError, read_reports
from pewtertack.lab.pages.page import write_page
from pewtertack.lab.scale.report import write_report
from pewtertack.lab.scale.run import ScaleSettings, run_scale


class PageTest(unittest.TestCase):
    def test_page_of_two_reports_has_plots_and_a_comparison(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            directory = Path(name)
            for nodes in (6, 8):
                settings = ScaleSettings(nodes=nodes, zones=2, regions=1, services=2, edits=1)
                write_report(run_scale(settings), directory / f"run-{nodes}.json")
            files = sorted(directory.glob("*.json"))
            page = write_page(read_reports(files), directory / "page").read_text()
            self.assertIn("## run-6 against run-8", page)
            plots = {path.name for path in (directory / "page").glob("*.svg")}
            self.assertEqual(plots, {"convergence.svg", "bytes-by-size.svg"})

    def test_file_that_is_not_a_report_is_an_error(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            path = Path(name) / "other.json"
            path.write_text("[]")
            with self.assertRaises(ReportFileError):
                read_reports([path])


if __name__ == "__main__":
    unittest.main()
