"""Control requests of the lab to simulated services and to the admin addresses of nodes."""

from __future__ import annotations

import httpcore
import msgspec

from pewtertack.lab.errors import ControlRefusedError, NumberConflictError
from pewtertack.settings import Address

TIMEOUTS = {"connect": 5.0, "read": 20.0, "write": 5.0, "pool": 20.0}
STATUS_CONFLICT = 409


class ControlClient:
    """Sends control requests over pooled connections."""

    def __init__(self) -> None:
        self._pool = httpcore.AsyncConnectionPool(max_connections=64, keepalive_expiry=2.0)

    async def close(self) -> None:
        """Close the connections."""
        await self._pool.aclose()

    async def request(
        self, method: str, address: Address, path: str, value: object = None
    ) -> bytes:
        """Send ``value`` as JSON and return the body of the response.

        Raises:
            NumberConflictError: the status is 409, because another operator's edit came first.
            ControlRefusedError: the status is another one than 200, or there is no response.
        """
        url = f"http://{address}{path}"
        content = b"" if value is None else msgspec.json.encode(value)
        try:
            response = await self._pool.request(
                method, url, content=content, extensions={"timeout": TIMEOUTS}
            )
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError) as error:
            raise ControlRefusedError(f"{method} {url}: {error!r}") from error
        if response.status == STATUS_CONFLICT:
            raise NumberConflictError(response.content.decode())
        if response.status != 200:
            raise ControlRefusedError(f"{method} {url}: {response.status} {response.content!r}")
        return response.content
