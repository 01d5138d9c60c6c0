"""Drives the coordination core: passes it inputs and carries out its effects."""

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
from pewtertack.errors import PlatformError, ProtocolError, ReadFailure
from pewtertack.events import Event
from pewtertack.log import EventLog
from pewtertack.node import clock
from pewtertack.node.counting import Histogram
from pewtertack.node.gate import ServingGate
from pewtertack.wire.frames import Envelope
from pewtertack.wire.messages import Message

MIN_SUSPENSION_SECONDS = 0.1
"""Shorter suspensions cannot be told from the time between the readings of two clocks."""
MAX_CLOCK_DIFFERENCE_SECONDS = 3600.0
"""A start time this many seconds ahead of this node's clock is treated as unknown. Clocks may jump:
a node whose clock is further behind cannot tell incarnations apart, as if no start times were
reported."""
YIELDS_BETWEEN_SLICES = 2
"""Event loop iterations between two slices of work, in which it polls the sockets."""
REFUSAL_LOG_INTERVAL_SECONDS = 1.0
"""Refused frames of one type are logged at most once in this many seconds."""


def _latest_start_time() -> int:
    """Return the latest plausible start time of a back end, in Unix milliseconds."""
    return int((clock.unix_time() + MAX_CLOCK_DIFFERENCE_SECONDS) * 1000)


class Core(Protocol):
    """Interface of the coordination core for the runtime."""

    def handle(self, now: float, event: Input) -> list[Effect]:
        """Process one input and return the effects to carry out."""


class Transport(Protocol):
    """Sends messages to peers."""

    def send(self, address: str, message: Message) -> None:
        """Send best-effort, without waiting."""


class DocumentReader(Protocol):
    """Reads documents of the platform."""

    async def read(
        self, effect: ReadDocument
    ) -> DocumentRead | DocumentUnchanged | DocumentReadFailed:
        """Perform one read and return its outcome."""


class Gateway(Protocol):
    """Interface of the gateway for the core's effects."""

    def use_configuration(self, configuration: ResolvedConfiguration) -> None:
        """Admit requests by ``configuration`` from now on."""

    def after_suspension(self) -> None:
        """Discard knowledge that may have become outdated while the machine was suspended."""

    def use_machines(self, machines: MachineList) -> None:
        """Serve the back ends of ``machines``."""


class Proxy(Protocol):
    """Interface of the proxy for the core's effects."""

    def use_configuration(self, configuration: ResolvedConfiguration) -> None:
        """Use ``configuration`` for requests that start from now on."""

    def use_machines(self, machines: MachineList) -> None:
        """Choose back ends from ``machines``."""

    def set_serving(self, serving: bool, retry_after: float = 1.0) -> None:
        """Accept requests or refuse them as not run."""


class Runtime:
    """Runs one core. All methods run in the event loop's thread.

    Args:
        core: the state machine.
        tick: seconds between ``Ticked`` inputs.
        gate: notified of ticks and of the core's decisions on serving.
        transport, reader, proxy: carry out effects; ``proxy`` is absent on a node that only
            replicates, ``gateway`` on a node without a local back end.
        log: receives the core's events.
        stages: observes how long revisions take to reach their stages.
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
        """Messages and reads whose handling failed, by the type of the error."""
        self.suspended_seconds = 0.0
        """For how long the machine was suspended since the node started."""
        self._suspended_at_start = clock.suspended_seconds()
        self.in_force_since: float | None = None
        """Unix time of the last change of configuration."""

    async def run(self) -> None:
        """Tick until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            while True:
                self._note_suspension()
                self.feed(Ticked())
                self._gate.note_tick()
                await anyio.sleep(self._tick)

    def _note_suspension(self) -> None:
        total = clock.suspended_seconds() - self._suspended_at_start
        seconds = total - self.suspended_seconds
        if seconds < MIN_SUSPENSION_SECONDS:
            return
        self.suspended_seconds = total
        if self._gateway is not None:
            self._gateway.after_suspension()
        self._log.record(Event.NODE_SUSPENDED, seconds=round(seconds, 3))

    def feed(self, event: Input) -> None:
        """Pass one input to the core and carry out the effects."""
        for effect in self._core.handle(clock.now(), event):
            self._carry_out(effect)

    def start_leaving(self) -> None:
        """Report not ready and tell peers: the process has been asked to stop."""
        self._gate.start_leaving()
        self.feed(DrainRequested())

    def stop_serving(self) -> None:
        """Refuse callers from now on."""
        self._gate.set_serving(False)

    def note_backend_leaving(self, name: str, address: str, started_at: int) -> None:
        """Have the core tell peers that a back end reported to this node's proxy that it leaves."""
        self.feed(BackendLeavingObserved(name, address, started_at))

    def receive(self, envelope: Envelope) -> None:
        """Handle a peer's message. A message that cannot be handled is dropped."""
        event = MessageReceived(
            envelope.sender, envelope.address, envelope.incarnation, envelope.message
        )
        try:
            self.feed(event)
        except Exception as error:  # one peer's message must not bring down a whole fleet
            name = type(error).__name__
            self.failed_messages[name] += 1
            self._log_refusal(name, f"{type(envelope.message).__name__}: {error}")

    def note_arriving(self, host: str) -> None:
        """Note that a frame is arriving from a peer at ``host``."""
        self.feed(FrameArriving(host))

    def refuse(self, error: ProtocolError) -> None:
        """Log a refused frame; the transport has counted it."""
        self._log_refusal(error.code, str(error))

    def _log_refusal(self, code: str, reason: str) -> None:
        now = clock.now()
        if (
            now - self._refusals_logged.get(code, -REFUSAL_LOG_INTERVAL_SECONDS)
            < REFUSAL_LOG_INTERVAL_SECONDS
        ):
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
            case UseMachineList(machine_list):
                self._use_machines(machine_list)
            case SetServing(serving, retry_after):
                self._set_serving(serving, retry_after)
            case StageReached():
                self._observe(effect)
            case Log(event, fields):
                self._log.record(event, **fields)

    def _use_machines(self, machine_list: MachineList) -> None:
        machines = machine_list.without_start_times_after(_latest_start_time())
        for component in (self._proxy, self._gateway):
            if component is not None:
                component.use_machines(machines)

    def _observe(self, stage_reached: StageReached) -> None:
        if self._stages is not None:
            self._stages.observe(
                (stage_reached.stage.value, stage_reached.channel.value), stage_reached.seconds
            )

    def _bring_into_force(self, configuration: ResolvedConfiguration) -> None:
        for component in (self._proxy, self._gateway):
            if component is not None:
                component.use_configuration(configuration)
        self.in_force_since = clock.unix_time()

    def _set_serving(self, serving: bool, retry_after: float) -> None:
        self._gate.set_serving(serving)
        if self._proxy is not None:
            self._proxy.set_serving(serving, retry_after)

    def _start_continuing(self) -> None:
        assert self._tasks is not None, "the core requests long work only in response to inputs"
        self._tasks.start_soon(self._continue_work)

    async def _continue_work(self) -> None:
        for _ in range(YIELDS_BETWEEN_SLICES):
            await anyio.sleep(0)
        try:
            self.feed(WorkContinued())
        except Exception as error:  # a configuration that cannot be handled is not held
            name = type(error).__name__
            self.failed_messages[name] += 1
            self._log_refusal(name, f"{WorkContinued.__name__}: {error}")

    def _start_read(self, effect: ReadDocument) -> None:
        assert self._tasks is not None, "the core requests reads only in ticks"
        self._tasks.start_soon(self._read, effect)

    async def _read(self, effect: ReadDocument) -> None:
        """Perform a read. No error may end the process: the whole fleet reads the same document."""
        try:
            outcome = await self._reader.read(effect)
            self.feed(msgspec.structs.replace(outcome, read_id=effect.read_id))
        except Exception as error:
            self.feed(self._read_failure(effect, error))

    def _read_failure(self, effect: ReadDocument, error: Exception) -> DocumentReadFailed:
        """Count an unexpected error in a read, or in the handling of its document."""
        name = type(error).__name__
        self.failed_messages[name] += 1
        reason = f"{PlatformError.code}: {name}: {error}"
        return DocumentReadFailed(
            effect.kind, reason, read_id=effect.read_id, failure=ReadFailure.UNUSABLE
        )
