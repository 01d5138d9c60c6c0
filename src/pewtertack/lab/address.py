"""Parsing of addresses given to the lab's commands."""

from __future__ import annotations

from pewtertack.lab.errors import LabUsageError
from pewtertack.settings import Address
from pewtertack.settings.values import ValueProblemError


def parse_address(text: str) -> Address:
    """Parse an address of the form ``ip:port``.

    Raises:
        LabUsageError: the text is not of this form.
    """
    try:
        return Address.parse(text)
    except ValueProblemError as error:
        raise LabUsageError(f"{error.problem}; accepted: {error.accepted}") from error
