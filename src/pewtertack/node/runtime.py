"""Drives the coordination core: feeds it inputs and carries out its effects."""

from __future__ import annotations

from collections import Counter
from typing import Protocol

import anyio
import msgspec
from anyio.abc import TaskGroup

from pewtertack.core.configuration.resolved import ResolvedConfiguration
from pewtertack.core.effects import (
    BringIntoForce,
    ContinueWork,
    Effect,
    Log,
    ReadDocument,
    Send,
    SetServing,
    StageReached,
    UseMachineList,
)
from pewtertack.core.inputs import (
    BackendLeavingObserved,
    DocumentRead,
    DocumentReadFailed,
    DocumentUnchanged,
    DrainRequested,
    FrameArriving,
    Input,
    MessageReceived,
    Ticked,
    WorkContinued,
)
from pewtertack.core.machines import MachineList
from pewtertack.errors import ProtocolError
from pewtertack.events import Event
from pewtertack.log import EventLog
from pewtertack.node import clock
from pewtertack.node.counting import Histogram
from pewtertack.node.gate import ServingGate
from pewtertack.wire.frames import Envelope
from pewtertack.wire.messages import Message

SUSPENSION_SECONDS = 0.1
"""Shorter suspensions are not told from the time between two readings of two clocks."""
CLOCKS_APART = 3600.0
"""A start so many seconds after this node's time is taken as untold. Clocks may jump: one that is
further behind tells no lives apart, which is what nodes do where starts are not told."""
TURNS_BETWEEN = 2
"""Turns of the event loop between two slices of work, so that it polls the sockets in between."""
REFUSAL_LOG_INTERVAL = 1.0
"""Refused frames of one type are logged at most once in so many seconds."""


def _latest_start() -> int:
    """Return the latest start, in Unix milliseconds, that a back end may have."""
    return int((clock.unix_time() + CLOCKS_APART) * 1000)


class Core(Protocol):
    """The coordination core, as the runtime sees it."""

    def handle(self, now: float, event: Input) -> list[Effect]:
        """Advance by one input and return what must be done."""


class Transport(Protocol):
    """Where messages to peers go."""

    def send(self, address: str, message: Message) -> None:
        """Send best effort, without waiting."""


class DocumentReader(Protocol):
    """Where documents of the platform come from."""

    async def read(
        self, effect: ReadDocument
    ) -> DocumentRead | DocumentUnchanged | DocumentReadFailed:
        """Do one read and return its outcome."""


class Gateway(Protocol):
    """What the core tells the gateway."""

    def use_configuration(self, configuration: ResolvedConfiguration) -> None:
        """Admit requests by ``configuration`` from now on."""

    def after_suspension(self) -> None:
        """Take nothing for granted that may have changed while the machine was suspended."""

    def use_machines(self, machines: MachineList) -> None:
        """Serve the back ends of ``machines``."""


class Proxy(Protocol):
    """What the core tells the proxy."""

    def use_configuration(self, configuration: ResolvedConfiguration) -> None:
        """Serve requests that begin from now on by ``configuration``."""

    def use_machines(self, machines: MachineList) -> None:
        """Choose back ends from ``machines``."""

    def set_serving(self, serving: bool, retry_after: float = 1.0) -> None:
        """Accept requests or refuse them as not run."""


class Runtime:
    """Feeds one core. All methods run in the event loop's thread.

    Args:
        core: the state machine.
        tick: seconds between ``Ticked`` inputs.
        gate: told of ticks and of the core's word on serving.
        transport, reader, proxy: where effects go; ``proxy`` is absent on a node
            that only replicates, ``gateway`` where no back end is beside the node.
        log: receives the core's events.
        stages: observes how long revisions take to their stages.
    """

    def __init__(
        self,
        core: Core,
        tick: float,
        gate: ServingGate,
        transport: Transport,
        reader: DocumentReader,
        proxy: Proxy | None,
        log: EventLog,
        gateway: Gateway | None = None,
        stages: Histogram | None = None,
    ) -> None:
        self._core = core
        self._tick = tick
        self._gate = gate
        self._transport = transport
        self._reader = reader
        self._proxy = proxy
        self._gateway = gateway
        self._log = log
        self._stages = stages
        self._tasks: TaskGroup | None = None
        self._refusals_logged: dict[str, float] = {}
        self.failed_messages: Counter[str] = Counter()
        """Messages whose handling failed, by the type of the error."""
        self.suspended_seconds = 0.0
        """For how long the machine was suspended since the node began."""
        self._suspended_at_start = clock.suspended_seconds()
        self.in_force_since: float | None = None
        """Unix time of the last swap."""

    async def run(self) -> None:
        """Tick until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            while True:
                self._note_suspension()
                self.feed(Ticked())
                self._gate.ticked()
                await anyio.sleep(self._tick)

    def _note_suspension(self) -> None:
        total = clock.suspended_seconds() - self._suspended_at_start
        seconds = total - self.suspended_seconds
        if seconds < SUSPENSION_SECONDS:
            return
        self.suspended_seconds = total
        if self._gateway is not None:
            self._gateway.after_suspension()
        self._log.record(Event.NODE_SUSPENDED, seconds=round(seconds, 3))

    def feed(self, event: Input) -> None:
        """Give the core one input and carry out the effects."""
        for effect in self._core.handle(clock.now(), event):
            self._carry_out(effect)

    def start_leaving(self) -> None:
        """The process has been asked to stop: be not ready, and tell peers."""
        self._gate.start_leaving()
        self.feed(DrainRequested())

    def stop_serving(self) -> None:
        """Refuse callers from now on."""
        self._gate.set_serving(False)

    def note_backend_leaving(self, name: str, address: str, started_at: int) -> None:
        """Let the core pass on what a back end has said of itself to this node's proxy."""
        self.feed(BackendLeavingObserved(name, address, started_at))

    def receive(self, envelope: Envelope) -> None:
        """Take in a peer's message. A message that cannot be handled is dropped."""
        event = MessageReceived(
            envelope.sender, envelope.address, envelope.incarnation, envelope.message
        )
        try:
            self.feed(event)
        except Exception as error:  # one peer's message must not end a whole fleet
            name = type(error).__name__
            self.failed_messages[name] += 1
            self._log_refusal(name, f"{type(envelope.message).__name__}: {error}")

    def note_arriving(self, host: str) -> None:
        """A frame is arriving from a peer at ``host``."""
        self.feed(FrameArriving(host))

    def refuse(self, error: ProtocolError) -> None:
        """Log a refused frame; the transport has counted it."""
        self._log_refusal(error.code, str(error))

    def _log_refusal(self, code: str, reason: str) -> None:
        now = clock.now()
        if now - self._refusals_logged.get(code, -REFUSAL_LOG_INTERVAL) < REFUSAL_LOG_INTERVAL:
            return
        self._refusals_logged[code] = now
        self._log.record(Event.FRAME_REFUSED, type=code, reason=reason)

    def _carry_out(self, effect: Effect) -> None:
        match effect:
            case Send(_, address, message):
                self._transport.send(address, message)
            case ReadDocument():
                self._start_read(effect)
            case ContinueWork():
                self._start_continuing()
            case BringIntoForce(configuration):
                self._bring_into_force(configuration)
            case UseMachineList(told):
                self._use_machines(told)
            case SetServing(serving, retry_after):
                self._set_serving(serving, retry_after)
            case StageReached():
                self._observe(effect)
            case Log(event, fields):
                self._log.record(event, **fields)

    def _use_machines(self, told: MachineList) -> None:
        machines = told.without_start_times_after(_latest_start())
        for user in (self._proxy, self._gateway):
            if user is not None:
                user.use_machines(machines)

    def _observe(self, reached: StageReached) -> None:
        if self._stages is not None:
            self._stages.observe((reached.stage.value, reached.way.value), reached.seconds)

    def _bring_into_force(self, configuration: ResolvedConfiguration) -> None:
        for user in (self._proxy, self._gateway):
            if user is not None:
                user.use_configuration(configuration)
        self.in_force_since = clock.unix_time()

    def _set_serving(self, serving: bool, retry_after: float) -> None:
        self._gate.set_serving(serving)
        if self._proxy is not None:
            self._proxy.set_serving(serving, retry_after)

    def _start_continuing(self) -> None:
        assert self._tasks is not None, "the core has long work in answer to inputs only"
        self._tasks.start_soon(self._continue_work)

    async def _continue_work(self) -> None:
        for _ in range(TURNS_BETWEEN):
            await anyio.sleep(0)
        try:
            self.feed(WorkContinued())
        except Exception as error:  # a configuration that cannot be handled is not held
            name = type(error).__name__
            self.failed_messages[name] += 1
            self._log_refusal(name, f"{type(WorkContinued).__name__}: {error}")

    def _start_read(self, effect: ReadDocument) -> None:
        assert self._tasks is not None, "the core asks for reads in ticks only"
        self._tasks.start_soon(self._read, effect)

    async def _read(self, effect: ReadDocument) -> None:
        answer = await self._reader.read(effect)
        self.feed(msgspec.structs.replace(answer, read_id=effect.read_id))
