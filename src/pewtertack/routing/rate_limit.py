"""The limit on requests a second that a back end names in its answers.

A back end in need names how many requests a second it takes from all nodes together, for as long as
its answers say so. Every request to it passes through its own node, so that node alone keeps the
limit. Answers may be read in another order than they were written: an answer raises or ends the
limit only if its request was sent after the limit was last named.
"""

from __future__ import annotations

import math
import re
from collections.abc import Sequence
from enum import StrEnum
from typing import ClassVar

from pewtertack.errors import RequestError

MAX_RATE_LENGTH = 20
"""Characters in the text of a limit."""
_DECIMAL_NUMBER = re.compile(r"[0-9]+(\.[0-9]+)?", re.ASCII)


class InvalidRateError(RequestError):
    """A back end's answer names a limit that is no decimal number, or names several."""

    code: ClassVar[str] = "invalid-rate"


class RateChange(StrEnum):
    """How an answer has changed the limit."""

    NAMED = "named"
    """There was no limit before, or another one."""
    ENDED = "ended"


def parse_rate(values: Sequence[str]) -> float | None:
    """Return the limit in requests a second that an answer names, ``None`` if it names none.

    Args:
        values: the values of the header, one for each time that the answer has it.

    Raises:
        InvalidRateError: the header is repeated, or its value is no decimal number.
    """
    if not values:
        return None
    if len(values) > 1:
        raise InvalidRateError(f"the answer names {len(values)} limits")
    text = values[0].strip()
    if len(text) > MAX_RATE_LENGTH or not _DECIMAL_NUMBER.fullmatch(text):
        shown = text[: MAX_RATE_LENGTH + 1]
        raise InvalidRateError(f"the limit {shown!r} is no decimal number")
    return float(text)


class RateLimit:
    """The limit of one incarnation of a back end. Times are monotonic seconds."""

    __slots__ = ("_named_at", "rate")

    def __init__(self) -> None:
        self.rate: float | None = None
        """Requests a second, ``None`` while the back end names no limit."""
        self._named_at = -math.inf
        """When an answer that names the limit was last read."""

    def note_answer(self, sent_at: float, now: float, rate: float | None) -> RateChange | None:
        """Take over what an answer says; return the change, if any.

        Args:
            sent_at: when the answered request was sent.
            now: when the answer was read.
            rate: the limit that the answer names, ``None`` if it names none.
        """
        former = self.rate
        is_current = sent_at >= self._named_at
        if rate is None:
            if former is None or not is_current:
                return None
            self.rate = None
            return RateChange.ENDED
        self._named_at = now
        if rate == former or (former is not None and rate > former and not is_current):
            return None
        self.rate = rate
        return RateChange.NAMED
