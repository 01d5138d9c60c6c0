"""A simulated process: a coordination core with its timer, its mailbox and its effects."""

from __future__ import annotations

import time
from collections import deque
from dataclasses import dataclass, field
from typing import Protocol

from pewtertack.core.effects import ContinueWork, Effect, Log, ReadDocument, Send, SetServing
from pewtertack.core.identity import NodeIdentity
from pewtertack.core.inputs import DrainRequested, Input, MessageReceived, Ticked, WorkContinued
from pewtertack.core.node import NodeCore
from pewtertack.lab.simulation.codec import ProcessCodec
from pewtertack.lab.simulation.network import Packet, SimulatedNetwork
from pewtertack.lab.simulation.platform import Answer, DocumentService
from pewtertack.lab.simulation.scheduler import Timer
from pewtertack.wire.messages import DocumentKind, Message

MAILBOX_LIMIT = 64
"""Number of messages that the kernel buffers for a paused process; later ones are lost."""


class Recorder(Protocol):
    """Receives the events that processes log."""

    def record_log(self, node: str, incarnation: int, log: Log) -> None:
        """Record an event that a process logged."""


@dataclass(frozen=True, slots=True)
class ProcessEnvironment:
    """The virtual time, network, platform and recorder that a process uses."""

    scheduler: Timer
    network: SimulatedNetwork
    platform: dict[DocumentKind, DocumentService]
    recorder: Recorder


@dataclass(slots=True)
class ProcessorTime:
    """Real processor time that one simulated process used, in seconds."""

    core: float = 0.0
    codec: float = 0.0


@dataclass(eq=False, slots=True)
class SimulatedProcess:
    """Drives one core as the daemon does: one input at a time.

    With a codec, messages are sent as real frames and processor time is measured.
    """

    identity: NodeIdentity
    core: NodeCore
    environment: ProcessEnvironment
    tick_interval: float
    codec: ProcessCodec | None = None
    processor_time: ProcessorTime = field(default_factory=ProcessorTime)
    serving: bool = False
    alive: bool = True
    paused: bool = False
    _mailbox: deque[Input] = field(default_factory=deque)
    _tick_scheduled: bool = False

    def start(self, phase: float) -> None:
        """Start the timer; the first tick is in ``phase`` seconds."""
        self._schedule_tick(phase)

    def kill(self) -> None:
        """End the process at once, as after SIGKILL."""
        self.alive = False
        self._mailbox.clear()
        for service in self.environment.platform.values():
            service.cancel_reads(self._on_answer)

    def pause(self) -> None:
        """Stop handling inputs until resumed; state and mailbox are kept."""
        self.paused = True

    def resume(self) -> None:
        """Handle the inputs in the mailbox, then resume the timer."""
        self.paused = False
        pending = list(self._mailbox)
        self._mailbox.clear()
        for item in pending:
            self._handle(item)
        if not self._tick_scheduled:
            self._tick()

    def drain(self) -> None:
        """Request a graceful shutdown of the core."""
        self.accept(DrainRequested())

    def receive(self, packet: Packet) -> None:
        """Handle a packet from the network."""
        if self.codec is None or packet.frame is None:
            self.accept(
                MessageReceived(
                    packet.sender, packet.sender_address, packet.incarnation, packet.message
                )
            )
            return
        began = time.process_time()
        received = self.codec.decode(packet.frame)
        self.processor_time.codec += time.process_time() - began
        if received is not None:
            self.accept(received)

    def accept(self, item: Input) -> None:
        """Handle an input, or put it in the mailbox while paused."""
        if not self.alive:
            return
        if not self.paused:
            self._handle(item)
        elif len(self._mailbox) < MAILBOX_LIMIT:
            self._mailbox.append(item)

    def _schedule_tick(self, delay: float) -> None:
        self._tick_scheduled = True
        self.environment.scheduler.after(delay, self._tick)

    def _tick(self) -> None:
        self._tick_scheduled = False
        if not self.alive or self.paused:
            return
        self._handle(Ticked())
        self._schedule_tick(self.tick_interval)

    def _handle(self, item: Input) -> None:
        if self.codec is None:
            effects = self.core.handle(self.environment.scheduler.now, item)
        else:
            began = time.process_time()
            effects = self.core.handle(self.environment.scheduler.now, item)
            self.processor_time.core += time.process_time() - began
        for effect in effects:
            self._apply_effect(effect)

    def _send(self, address: str, message: Message) -> None:
        identity = self.identity
        frame = None
        if self.codec is not None:
            began = time.process_time()
            frame = self.codec.encode(message)
            self.processor_time.codec += time.process_time() - began
        self.environment.network.send(
            Packet(identity.name, identity.address, identity.incarnation, address, message, frame)
        )

    def _apply_effect(self, effect: Effect) -> None:
        match effect:
            case Send(_, address, message):
                self._send(address, message)
            case ReadDocument():
                self._read(effect)
            case ContinueWork():
                self.environment.scheduler.after(0.0, lambda: self.accept(WorkContinued()))
            case Log():
                identity = self.identity
                self.environment.recorder.record_log(identity.name, identity.incarnation, effect)
            case SetServing(serving):
                self.serving = serving

    def _read(self, effect: ReadDocument) -> None:
        service = self.environment.platform[effect.kind]
        service.read(effect, self._on_answer, self.identity.name)

    def _on_answer(self, answer: Answer) -> None:
        self.accept(answer)
