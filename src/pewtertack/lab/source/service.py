"""The configuration source: readers at ``/v1/tree``, operators at the control address."""

from __future__ import annotations

import time
from typing import Any

import msgspec

from pewtertack.lab.asgi import Request, Response, json_response
from pewtertack.lab.platform.application import ReadApplication
from pewtertack.lab.platform.control import PlatformService
from pewtertack.lab.platform.store import DocumentStore, NumberedDocument
from pewtertack.settings import Address

READ_PATH = "/v1/tree"
DEFAULT_READER_LIMIT = 32


class ConfigurationSource:
    """The tree's store and its service.

    Args:
        tree: the first tree, number 1.
        listen: address for the readers.
        control: address for operators and the lab.
        reader_limit: reads beyond this many at once get 503.
        seed: decides which answers are older ones.
    """

    def __init__(
        self,
        tree: dict[str, Any],
        listen: Address,
        control: Address,
        reader_limit: int = DEFAULT_READER_LIMIT,
        seed: int = 0,
    ) -> None:
        self._store = DocumentStore(tree, seed)
        reading = ReadApplication(self._store, "tree", reader_limit)
        self._lost: list[NumberedDocument] = []
        """What the operators have to write again."""
        handlers = {
            ("PUT", "/tree"): self._put_tree,
            ("GET", "/tree"): self._get_tree,
            ("POST", "/return"): self._restore,
            ("POST", "/write-again"): self._replay_lost_writes,
        }
        self.service = PlatformService(
            self._store, reading, READ_PATH, listen, control, dict(handlers)
        )

    async def _put_tree(self, request: Request) -> Response:
        tree = msgspec.json.decode(request.body, type=dict[str, Any])
        self._put_lost()  # operators write what was lost before anything else
        expected = request.query.get("expected")
        number = self._store.put(tree, time.time(), int(expected) if expected else None)
        return json_response({"number": number})

    async def _restore(self, request: Request) -> Response:
        lost = self._store.restore(float(request.query["copied_at"]))
        self._lost = [*lost, *self._lost]
        return json_response({"lost": len(lost)})

    async def _replay_lost_writes(self, request: Request) -> Response:
        self._put_lost()
        return json_response({})

    def _put_lost(self) -> None:
        """Write lost trees again, in their order: each gets the number that it had."""
        for version in self._lost:
            self._store.put(version.document, time.time())
        self._lost = []

    async def _get_tree(self, request: Request) -> Response:
        newest = self._store.newest
        return json_response({"number": newest.number, "tree": newest.document})
