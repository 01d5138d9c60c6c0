"""Options of a node's listening sockets."""

import socket
import tempfile
import unittest
from pathlib import Path

from pewtertack.node.sockets import bind_sockets
from pewtertack.settings import load_settings

SETTINGS = """
[node]
name = "n1"
zone = "yaba"
region = "lagos"
[listen]
proxy = "127.0.0.1:0"
peer = "127.0.0.1:0"
admin = "127.0.0.1:0"
[source]
url = "http://127.0.0.1:1"
[machines]
url = "http://127.0.0.1:2"
[peers]
key = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"
"""


class SocketOptionsTest(unittest.TestCase):
    def setUp(self) -> None:
        directory = self.enterContext(tempfile.TemporaryDirectory())
        path = Path(directory) / "node.toml"
        path.write_text(SETTINGS)
        self.sockets = bind_sockets(load_settings(path, {}), str(path))
        self.addCleanup(self.sockets.close)

    def test_accepted_connections_have_tcp_nodelay(self) -> None:
        """Without TCP_NODELAY a response in two writes waits for a delayed acknowledgement."""
        for listener in (self.sockets.proxy, self.sockets.admin, self.sockets.peer_streams):
            assert listener is not None
            listener.setblocking(True)
            with socket.create_connection(listener.getsockname()):
                accepted, _ = listener.accept()
                with accepted:
                    option = accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
                    self.assertTrue(option)
