"""One simulated process: a coordination core with its timer, mailbox and effects."""

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
"""Messages that the kernel keeps for a paused process; later ones are lost."""


class Recorder(Protocol):
    """Takes what a process logs."""

    def record_log(self, node: str, incarnation: int, log: Log) -> None:
        """Record a numbered event of a process."""


@dataclass(frozen=True, slots=True)
class Surroundings:
    """What a process talks to."""

    scheduler: Timer
    network: SimulatedNetwork
    platform: dict[DocumentKind, DocumentService]
    recorder: Recorder


@dataclass(slots=True)
class ProcessorTime:
    """Real seconds of processor time that one process took."""

    core_seconds: float = 0.0
    codec_seconds: float = 0.0


@dataclass(eq=False, slots=True)
class SimulatedProcess:
    """Drives one core as the daemon does: one input at a time.

    With a codec its messages travel as real frames, and processor time is measured.
    """

    identity: NodeIdentity
    core: NodeCore
    around: Surroundings
    tick: float
    codec: ProcessCodec | None = None
    processor_time: ProcessorTime = field(default_factory=ProcessorTime)
    serving: bool = False
    alive: bool = True
    paused: bool = False
    _mailbox: deque[Input] = field(default_factory=deque)
    _ticking: bool = False

    def start(self, phase: float) -> None:
        """Begin to tick, the first time in ``phase`` seconds."""
        self._schedule_tick(phase)

    def kill(self) -> None:
        """End without notice."""
        self.alive = False
        self._mailbox.clear()
        for service in self.around.platform.values():
            service.abandon(self._on_answer)

    def pause(self) -> None:
        """Handle nothing until resumed; memory and mailbox stay."""
        self.paused = True

    def resume(self) -> None:
        """Run on: first what has waited in the mailbox, then the timer."""
        self.paused = False
        waiting = list(self._mailbox)
        self._mailbox.clear()
        for item in waiting:
            self._handle(item)
        if not self._ticking:
            self._tick()

    def drain(self) -> None:
        """Ask the core to leave."""
        self.take(DrainRequested())

    def receive(self, packet: Packet) -> None:
        """Take a message from the network."""
        if self.codec is None or packet.frame is None:
            self.take(
                MessageReceived(
                    packet.sender, packet.sender_address, packet.incarnation, packet.message
                )
            )
            return
        began = time.process_time()
        received = self.codec.decode(packet.frame)
        self.processor_time.codec_seconds += time.process_time() - began
        if received is not None:
            self.take(received)

    def take(self, item: Input) -> None:
        """Handle an input now, or keep it while paused."""
        if not self.alive:
            return
        if not self.paused:
            self._handle(item)
        elif len(self._mailbox) < MAILBOX_LIMIT:
            self._mailbox.append(item)

    def _schedule_tick(self, delay: float) -> None:
        self._ticking = True
        self.around.scheduler.after(delay, self._tick)

    def _tick(self) -> None:
        self._ticking = False
        if not self.alive or self.paused:
            return
        self._handle(Ticked())
        self._schedule_tick(self.tick)

    def _handle(self, item: Input) -> None:
        if self.codec is None:
            effects = self.core.handle(self.around.scheduler.now, item)
        else:
            began = time.process_time()
            effects = self.core.handle(self.around.scheduler.now, item)
            self.processor_time.core_seconds += time.process_time() - began
        for effect in effects:
            self._carry_out(effect)

    def _send(self, address: str, message: Message) -> None:
        identity = self.identity
        frame = None
        if self.codec is not None:
            began = time.process_time()
            frame = self.codec.encode(message)
            self.processor_time.codec_seconds += time.process_time() - began
        self.around.network.send(
            Packet(identity.name, identity.address, identity.incarnation, address, message, frame)
        )

    def _carry_out(self, effect: Effect) -> None:
        match effect:
            case Send(_, address, message):
                self._send(address, message)
            case ReadDocument():
                self._read(effect)
            case ContinueWork():
                self.around.scheduler.after(0.0, lambda: self.take(WorkContinued()))
            case Log():
                identity = self.identity
                self.around.recorder.record_log(identity.name, identity.incarnation, effect)
            case SetServing(serving):
                self.serving = serving

    def _read(self, effect: ReadDocument) -> None:
        service = self.around.platform[effect.kind]
        service.read(effect.after, effect.wait, self._on_answer, effect.may_be_stale)

    def _on_answer(self, answer: Answer) -> None:
        self.take(answer)
