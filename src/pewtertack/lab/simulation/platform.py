"""The platform in virtual time: numbered documents read by long poll.

One class stands for the configuration source and for the machine list.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from pewtertack.core.inputs import DocumentRead, DocumentReadFailed, DocumentUnchanged
from pewtertack.core.revision import Document
from pewtertack.lab.simulation.scheduler import Scheduler
from pewtertack.wire.messages import DocumentKind

ANSWER_TIME = 0.005
"""One way between a reader and the platform, in seconds."""

BUSY_RETRY_AFTER = 1.0

Answer = DocumentRead | DocumentUnchanged | DocumentReadFailed
Reply = Callable[[Answer], None]


@dataclass(frozen=True, slots=True)
class Version:
    """A document under its number, visible to readers from ``visible_at`` on."""

    number: int
    document: Document
    visible_at: float


@dataclass(eq=False, slots=True)
class Read:
    """One read that the service has not answered."""

    after: int
    reply: Reply
    done: bool = False


@dataclass(slots=True)
class ReadCounts:
    """What the service saw. ``peak_concurrent`` counts admitted and refused reads."""

    total: int = 0
    refused: int = 0
    concurrent: int = 0
    peak_concurrent: int = 0
    stale: int = 0
    """Reads whom a stale answer would do; not in ``total``."""


@dataclass(slots=True)
class DocumentService:
    """Gives out the newest visible version of one document.

    ``lag`` is how long a new version stays invisible. During an outage every
    read fails; ``stale_number`` hides all versions above it; ``older_share`` is
    the probability that an answer holds the version before the visible one. A number
    in ``forks`` has a second document, which ``fork_share`` of the answers hold.
    """

    scheduler: Scheduler
    random: Random
    kind: DocumentKind
    readers_limit: int
    lag: float = 0.0
    down: bool = False
    stale_number: int | None = None
    older_share: float = 0.0
    stale_lag: float = 0.0
    """How old answers are to readers whom a stale one will do."""
    fork_share: float = 0.5
    forks: dict[int, Document] = field(default_factory=dict)
    versions: list[Version] = field(default_factory=list)
    counts: ReadCounts = field(default_factory=ReadCounts)
    _reads: list[Read] = field(default_factory=list)

    def put(self, document: Document) -> int:
        """Take a new version and return its number."""
        number = len(self.versions) + 1
        self.versions.append(Version(number, document, self.scheduler.now + self.lag))
        self.scheduler.after(self.lag, self._answer_waiting)
        return number

    def fork(self, number: int, document: Document) -> None:
        """Give some readers ``document`` under a number that others see another for."""
        self.forks[number] = document

    def fail(self) -> None:
        """Begin an outage; open reads break."""
        self.down = True
        for read in list(self._reads):
            self._finish(read, DocumentReadFailed(self.kind, "outage"))

    def turn_stale(self, number: int) -> None:
        """Show nothing newer than ``number`` from now on."""
        self.stale_number = number

    def recover(self) -> None:
        """Answer currently again."""
        self.down = False
        self.stale_number = None
        self.older_share = 0.0
        self._answer_waiting()

    def read(self, after: int, wait: float, reply: Reply, may_be_stale: bool = False) -> None:
        """Answer now if there is another version than ``after``, else within ``wait``."""
        if may_be_stale:
            self.scheduler.after(ANSWER_TIME, lambda: self._answer_stale(reply))
        else:
            self.scheduler.after(ANSWER_TIME, lambda: self._admit(after, wait, reply))

    def _answer_stale(self, reply: Reply) -> None:
        """Answer with what was visible ``stale_lag`` ago; costs the platform next to nothing."""
        self.counts.stale += 1
        oldest = self.scheduler.now - self.stale_lag
        shown = [version for version in self.versions if version.visible_at <= oldest]
        answer: Answer = DocumentReadFailed(self.kind, "outage")
        if shown and not self.down:
            newest = shown[-1]
            answer = DocumentRead(self.kind, newest.number, newest.document, stale=True)
        self.scheduler.after(ANSWER_TIME, lambda: reply(answer))

    def _admit(self, after: int, wait: float, reply: Reply) -> None:
        read = Read(after, reply)
        self._reads.append(read)
        self.counts.total += 1
        self.counts.concurrent = len(self._reads)
        self.counts.peak_concurrent = max(self.counts.peak_concurrent, self.counts.concurrent)
        if self.down:
            self._finish(read, DocumentReadFailed(self.kind, "outage"))
        elif len(self._reads) > self.readers_limit:
            self.counts.refused += 1
            self._finish(read, DocumentReadFailed(self.kind, "busy", BUSY_RETRY_AFTER))
        elif not self._answer(read):
            self.scheduler.after(wait, lambda: self._finish(read, DocumentUnchanged(self.kind)))

    def _visible(self) -> Version | None:
        shown = [
            version
            for version in self.versions
            if version.visible_at <= self.scheduler.now
            and (self.stale_number is None or version.number <= self.stale_number)
        ]
        if len(shown) > 1 and self.random.random() < self.older_share:
            return shown[-2]
        return shown[-1] if shown else None

    def _answer(self, read: Read) -> bool:
        version = self._visible()
        if version is None or version.number == read.after:
            return False
        document = version.document
        if version.number in self.forks and self.random.random() < self.fork_share:
            document = self.forks[version.number]
        self._finish(read, DocumentRead(self.kind, version.number, document))
        return True

    def _answer_waiting(self) -> None:
        if not self.down:
            for read in list(self._reads):
                self._answer(read)

    def _finish(self, read: Read, answer: Answer) -> None:
        if read.done:
            return
        read.done = True
        self._reads.remove(read)
        self.counts.concurrent = len(self._reads)
        self.scheduler.after(ANSWER_TIME, lambda: read.reply(answer))

    def abandon(self, reply: Reply) -> None:
        """Drop the open reads of a reader that died."""
        for read in [read for read in self._reads if read.reply == reply]:
            read.done = True
            self._reads.remove(read)
