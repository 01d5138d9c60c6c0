"""Simulates the platform in virtual time: versioned documents that nodes read by long poll.

The same class serves as the configuration source and as the service of the machine list.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import msgspec

from pewtertack.core.effects import ReadDocument
from pewtertack.core.inputs import DocumentRead, DocumentReadFailed, DocumentUnchanged
from pewtertack.core.revision import Document
from pewtertack.lab.simulation.scheduler import Scheduler
from pewtertack.wire.messages import DocumentKind

ONE_WAY_SECONDS = 0.005
"""One-way latency between a reader and the platform, in seconds."""

BUSY_RETRY_AFTER_SECONDS = 1.0
SILENT_READ_SECONDS = 8.0
"""Time after which a reader gives up a read whose answer the platform withholds, in seconds."""

Answer = DocumentRead | DocumentUnchanged | DocumentReadFailed
Reply = Callable[[Answer], None]


@dataclass(frozen=True, slots=True)
class Version:
    """A numbered version of a document, visible to readers from ``visible_at`` on."""

    number: int
    document: Document
    visible_at: float


@dataclass(eq=False, slots=True)
class PendingRead:
    """A read that waits for a response of the service."""

    after: int
    reply: Reply
    reader: str = ""
    read_id: int = 0
    done: bool = False


@dataclass(slots=True)
class ReadCounts:
    """Counts of reads. ``peak_concurrent`` includes reads that were refused."""

    total: int = 0
    refused: int = 0
    concurrent: int = 0
    peak_concurrent: int = 0
    stale: int = 0
    """Reads that accept a stale response; not included in ``total``."""


@dataclass(slots=True)
class DocumentService:
    """Serves the newest visible version of one document.

    A new version becomes visible after ``lag`` seconds. While the service is ``down``,
    every read fails. ``stale_number`` hides all newer versions.
    ``previous_version_probability`` is that of a response with the version before the
    newest visible one. A version in ``forks`` has a second document, which a response
    contains with ``fork_probability``. Readers in ``silent_readers`` get no response, although
    their connections stay open.
    """

    scheduler: Scheduler
    random: Random
    kind: DocumentKind
    readers_limit: int
    lag: float = 0.0
    down: bool = False
    stale_number: int | None = None
    previous_version_probability: float = 0.0
    stale_lag: float = 0.0
    """Age in seconds of the responses to reads that accept a stale one."""
    fork_probability: float = 0.5
    forks: dict[int, Document] = field(default_factory=dict)
    silent_readers: set[str] = field(default_factory=set)
    versions: list[Version] = field(default_factory=list)
    counts: ReadCounts = field(default_factory=ReadCounts)
    _reads: list[PendingRead] = field(default_factory=list)

    def put(self, document: Document) -> int:
        """Add a new version and return its number."""
        number = len(self.versions) + 1
        self.versions.append(Version(number, document, self.scheduler.now + self.lag))
        self.scheduler.after(self.lag, self._answer_pending)
        return number

    def fork(self, number: int, document: Document) -> None:
        """Return ``document`` to some readers in place of the version ``number``."""
        self.forks[number] = document

    def fail(self) -> None:
        """Begin an outage; pending reads fail."""
        self.down = True
        for read in list(self._reads):
            self._finish(read, DocumentReadFailed(self.kind, "outage"))

    def hide_versions_above(self, number: int) -> None:
        """Serve no version newer than ``number`` from now on."""
        self.stale_number = number

    def recover(self) -> None:
        """End an outage and serve the newest version again."""
        self.down = False
        self.stale_number = None
        self.previous_version_probability = 0.0
        self._answer_pending()

    def read(self, effect: ReadDocument, reply: Reply, reader: str = "") -> None:
        """Call ``reply`` with the visible version, once it differs from ``effect.after``.

        Args:
            effect: the read; a stale response is given without waiting.
            reply: called with the response.
            reader: name of the node that reads.
        """
        read = PendingRead(effect.after, reply, reader, effect.read_id)
        if effect.may_be_stale:
            self.scheduler.after(ONE_WAY_SECONDS, lambda: self._reply_stale(read))
        else:
            self.scheduler.after(ONE_WAY_SECONDS, lambda: self._admit(read, effect.wait))

    def _reply_stale(self, read: PendingRead) -> None:
        """Reply with the version visible ``stale_lag`` ago; such reads cost a platform little."""
        self.counts.stale += 1
        oldest = self.scheduler.now - self.stale_lag
        visible = [version for version in self.versions if version.visible_at <= oldest]
        answer: Answer = DocumentReadFailed(self.kind, "outage")
        if visible and not self.down:
            newest = visible[-1]
            answer = DocumentRead(self.kind, newest.number, newest.document, stale=True)
        self._respond(read, answer)

    def _respond(self, read: PendingRead, answer: Answer) -> None:
        delay = ONE_WAY_SECONDS
        if read.reader in self.silent_readers:
            delay, answer = SILENT_READ_SECONDS, DocumentReadFailed(self.kind, "silent")
        answer = msgspec.structs.replace(answer, read_id=read.read_id)
        self.scheduler.after(delay, lambda: read.reply(answer))

    def _admit(self, read: PendingRead, wait: float) -> None:
        self._reads.append(read)
        self.counts.total += 1
        self.counts.concurrent = len(self._reads)
        self.counts.peak_concurrent = max(self.counts.peak_concurrent, self.counts.concurrent)
        if self.down:
            self._finish(read, DocumentReadFailed(self.kind, "outage"))
        elif len(self._reads) > self.readers_limit:
            self.counts.refused += 1
            self._finish(read, DocumentReadFailed(self.kind, "busy", BUSY_RETRY_AFTER_SECONDS))
        elif not self._answer(read):
            self.scheduler.after(wait, lambda: self._finish(read, DocumentUnchanged(self.kind)))

    def _visible(self) -> Version | None:
        visible = [
            version
            for version in self.versions
            if version.visible_at <= self.scheduler.now
            and (self.stale_number is None or version.number <= self.stale_number)
        ]
        if len(visible) > 1 and self.random.random() < self.previous_version_probability:
            return visible[-2]
        return visible[-1] if visible else None

    def _answer(self, read: PendingRead) -> bool:
        version = self._visible()
        if version is None or version.number == read.after:
            return False
        document = version.document
        if version.number in self.forks and self.random.random() < self.fork_probability:
            document = self.forks[version.number]
        self._finish(read, DocumentRead(self.kind, version.number, document))
        return True

    def _answer_pending(self) -> None:
        if not self.down:
            for read in list(self._reads):
                self._answer(read)

    def _finish(self, read: PendingRead, answer: Answer) -> None:
        if read.done:
            return
        read.done = True
        self._reads.remove(read)
        self.counts.concurrent = len(self._reads)
        self._respond(read, answer)

    def cancel_reads(self, reply: Reply) -> None:
        """Cancel the pending reads of a reader that died."""
        for read in [read for read in self._reads if read.reply == reply]:
            read.done = True
            self._reads.remove(read)
