"""Embed the coordination core: three replicas in one program, without sockets.

Run with ``python examples/embedding/three_replicas.py``.
"""

from random import Random

from pewtertack.core.effects import BringIntoForce, Effect, ReadDocument, Send
from pewtertack.core.identity import NodeIdentity
from pewtertack.core.inputs import DocumentRead, Input, MessageReceived, Ticked
from pewtertack.core.node import NodeCore
from pewtertack.core.profile import FAST
from pewtertack.wire.messages import DocumentKind

TREE = {
    "services": {"archive": {}},
    "routes": {"browse": {"service": "archive", "path_prefix": "/"}},
}
ADDRESSES = {"one": "10.0.0.1:7000", "two": "10.0.0.2:7000", "three": "10.0.0.3:7000"}


class Program:
    """A runtime that delivers messages immediately and reads the configuration from ``TREE``."""

    def __init__(self) -> None:
        self.in_force: dict[str, int] = {}
        seeds = tuple(ADDRESSES.values())
        self.cores = {
            name: NodeCore(NodeIdentity(name, address, "zone", "", 1), FAST, Random(1), 0.0, seeds)
            for name, address in ADDRESSES.items()
        }

    def feed(self, now: float, name: str, input_event: Input) -> None:
        """Pass one input to a core and execute the effects that it returns."""
        for effect in self.cores[name].handle(now, input_event):
            self.execute(now, name, effect)

    def execute(self, now: float, name: str, effect: Effect) -> None:
        """Deliver a message, respond to a read, or record the revision that came into force."""
        match effect:
            case Send(_, address, message):
                receiver = next(key for key, value in ADDRESSES.items() if value == address)
                self.feed(now, receiver, MessageReceived(name, ADDRESSES[name], 1, message))
            case ReadDocument(DocumentKind.CONFIGURATION, after) if after == 0:
                self.feed(now, name, DocumentRead(DocumentKind.CONFIGURATION, 1, TREE))
            case BringIntoForce(configuration):
                self.in_force[name] = configuration.revision.number

    def run(self, seconds: float) -> None:
        """Tick every core for ``seconds`` of virtual time."""
        for step in range(int(seconds / FAST.tick)):
            for name in self.cores:
                self.feed(step * FAST.tick, name, Ticked())


if __name__ == "__main__":
    program = Program()
    program.run(seconds=5.0)
    print("in force:", program.in_force)
