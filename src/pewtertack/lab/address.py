"""Addresses of the lab's processes."""

from __future__ import annotations

import msgspec

from pewtertack.lab.errors import LabUsageError


class Address(msgspec.Struct, frozen=True):
    """An IP number and a port."""

    ip: str
    port: int

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"

    @classmethod
    def parse(cls, text: str) -> Address:
        """Read ``ip:port``.

        Raises:
            LabUsageError: the text has another form.
        """
        ip, colon, port = text.rpartition(":")
        if not colon or not ip or not port.isdigit():
            raise LabUsageError(f"{text!r} is no address; write ip:port")
        return cls(ip, int(port))
