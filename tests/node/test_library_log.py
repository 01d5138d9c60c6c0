"""Log messages of the HTTP server become numbered events."""

import io
import json
import logging
import unittest

from pewtertack.events import Event
from pewtertack.log import EventLog
from pewtertack.node.http.cycle import LOGGER_NAME as SERVER_LOGGER
from pewtertack.node.library_log import record_library_log


class LibraryLogTest(unittest.TestCase):
    def setUp(self) -> None:
        self.output = io.StringIO()
        self.logger = logging.getLogger(SERVER_LOGGER)
        before = (self.logger.handlers, self.logger.propagate, self.logger.level)
        self.addCleanup(self.restore, *before)
        record_library_log(EventLog("n1", 7, self.output))

    def restore(self, handlers: list[logging.Handler], propagate: bool, level: int) -> None:
        self.logger.handlers, self.logger.propagate = handlers, propagate
        self.logger.setLevel(level)

    def lines(self) -> list[dict[str, object]]:
        return [json.loads(line) for line in self.output.getvalue().splitlines()]

    def test_an_error_is_recorded_with_its_type(self) -> None:
        try:
            raise ValueError("odd")
        except ValueError:
            self.logger.exception("Exception in ASGI application\n")
        (line,) = self.lines()
        self.assertEqual(line["number"], Event.HTTP_SERVER_WARNING.number)
        self.assertEqual((line["type"], line["detail"]), ("ValueError", "odd"))

    def test_information_is_skipped_and_repeats_are_limited(self) -> None:
        self.logger.info("Started")
        for _ in range(5):
            self.logger.error("ASGI callable returned without completing response.")
        self.assertEqual(len(self.lines()), 1)
