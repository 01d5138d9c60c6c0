"""Simulated configuration source: nodes read ``/v1/tree``, operators edit by control requests."""

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
    """Stores the versions of the tree and serves them.

    Args:
        tree: the first version, number 1.
        listen: the address for readers.
        control: the address for operators and the lab.
        reader_limit: limit on concurrent reads; further ones get 503.
        seed: determines which reads return an older version.
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
        read_application = ReadApplication(self._store, "tree", reader_limit)
        self._lost_versions: list[NumberedDocument] = []
        """Versions lost by restores that the operators still have to write again."""
        handlers = {
            ("PUT", "/tree"): self._put_tree,
            ("GET", "/tree"): self._get_tree,
            ("POST", "/return"): self._restore,
            ("POST", "/write-again"): self._replay_lost_writes,
        }
        self.service = PlatformService(
            self._store, read_application, READ_PATH, listen, control, dict(handlers)
        )

    async def _put_tree(self, request: Request) -> Response:
        tree = msgspec.json.decode(request.body, type=dict[str, Any])
        self._put_lost_versions()  # operators write lost versions again before new ones
        expected = request.query.get("expected")
        number = self._store.put(tree, time.time(), int(expected) if expected else None)
        return json_response({"number": number})

    async def _restore(self, request: Request) -> Response:
        lost = self._store.restore(float(request.query["copied_at"]))
        self._lost_versions = [*lost, *self._lost_versions]
        return json_response({"lost": len(lost)})

    async def _replay_lost_writes(self, _request: Request) -> Response:
        self._put_lost_versions()
        return json_response({})

    def _put_lost_versions(self) -> None:
        """Write the lost versions again in their order, so that each gets its former number."""
        for version in self._lost_versions:
            self._store.put(version.document, time.time())
        self._lost_versions = []

    async def _get_tree(self, _request: Request) -> Response:
        newest = self._store.newest
        return json_response({"number": newest.number, "tree": newest.document})
