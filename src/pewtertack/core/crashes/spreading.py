"""Tells all nodes of back ends that ended and what they ran.

News goes to some peers at once and is passed on once by each node that did not know it. Peers
that were cut off then, or whose datagrams were lost, hear it from regular reports; a node that
joins or wakes is told by those it asks.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable
from random import Random

from pewtertack.core.crashes.ledger import CrashLedger, Suspect
from pewtertack.core.effects import Effect, Log, Send
from pewtertack.core.identity import NodeIdentity
from pewtertack.core.membership.service import Membership
from pewtertack.events import Event
from pewtertack.wire.messages import CrashedRequest, CrashReports, EndedBackend

FAN_OUT = 8
"""Peers that news goes to at once: a random one of many is missed with e^-8, 1 in 3,000."""
NEWS_PER_SECOND = 10.0
"""News that one node tells at once, beyond a burst of ``NEWS_BURST``; more than that is left to
the regular reports. So many ends a second bear 10 KB a second and node at most."""
NEWS_BURST = 40.0
REPORT_INTERVAL = 1.0
REPORT_PEERS = 3
"""Peers that hear a regular report: one that returns from a cut misses all of the next three
seconds' reports with e^-9, 1 in 8,000."""
NEWS_SECONDS = 10.0
"""For so long regular reports tell of requests that one back end alone ended under; those of
two and more are told until they are forgotten."""
REPORT_ENDS_MAX = 40
"""Ends in one report: each takes 14 bytes, a request 25; a datagram of 1,200 bytes holds them."""
ENDS_TOLD_MAX = 10
"""Ends told of one request, the newest."""
REQUESTS_TOLD_MAX = 16
LOGGED_FROM = 3
"""Ends from which a request is logged: what routes allow unless they say otherwise."""
MILLISECONDS = 1000


class CrashSpreading:
    """Keeps one node's ledger and says whom to tell of what is new in it."""

    def __init__(self, identity: NodeIdentity, membership: Membership, random: Random) -> None:
        self.ledger = CrashLedger(self._is_mine_to_try)
        self._identity = identity
        self._membership = membership
        self._random = random
        self._next_report_at = -math.inf
        self._news = NEWS_BURST
        """News that may be told at once."""
        self._news_at = -math.inf

    def crashed(
        self, now: float, fingerprints: Iterable[bytes], number: int | None = None
    ) -> list[Effect]:
        """A back end ended while it ran these requests.

        Without a ``number`` this node alone can have seen it, and makes one up.
        """
        if number is None:
            number = self._random.getrandbits(63)
        news = [item for item in fingerprints if self.ledger.note_end(item, number, now)]
        return self._spread(now, news)

    def answered(self, now: float, fingerprint: bytes) -> list[Effect]:
        """The back end beside this node answered a suspect."""
        if not self.ledger.note_answered(fingerprint, now):
            return []
        return self._spread(now, [fingerprint])

    def learn(self, now: float, reports: CrashReports) -> list[Effect]:
        """Merge what a peer knows; pass on what was news."""
        news = [item.fingerprint for item in reports.requests if self._merge(now, item)]
        return self._spread(now, news)

    def tick(self, now: float) -> list[Effect]:
        """Return the regular reports that are due."""
        if not len(self.ledger) or now < self._next_report_at:
            return []
        self._next_report_at = now + REPORT_INTERVAL
        self.ledger.forget(now)
        lasting = [
            item for item in self.ledger if item.count > 1 or now - item.changed_at < NEWS_SECONDS
        ]
        if not lasting:
            return []
        return self._send(self._sample(REPORT_PEERS), self._reports(now, lasting))

    def for_joiner(self, now: float, name: str, address: str) -> list[Effect]:
        """Return everything that fits one datagram, for a peer that joins or has woken."""
        if not len(self.ledger):
            return []
        return [Send(name, address, self._reports(now, list(self.ledger)))]

    def _merge(self, now: float, item: CrashedRequest) -> bool:
        news = False
        for end in item.crashes:
            at = now - end.age_ms / MILLISECONDS
            news |= self.ledger.note_end(item.fingerprint, end.number, at)
        if item.answered_ms_ago is not None:
            at = now - item.answered_ms_ago / MILLISECONDS
            news |= self.ledger.note_answered(item.fingerprint, at)
        return news

    def _spread(self, now: float, fingerprints: list[bytes]) -> list[Effect]:
        if not fingerprints:
            return []
        suspects = [item for item in self.ledger if item.fingerprint in fingerprints]
        effects: list[Effect] = [_log(item) for item in suspects if item.count >= LOGGED_FROM]
        if self._may_tell_at_once(now):
            effects += self._send(self._sample(FAN_OUT), self._reports(now, suspects))
        return effects

    def _may_tell_at_once(self, now: float) -> bool:
        earned = (now - self._news_at) * NEWS_PER_SECOND
        self._news = min(NEWS_BURST, self._news + earned)
        self._news_at = now
        if self._news < 1:
            return False
        self._news -= 1
        return True

    def _sample(self, count: int) -> list[str]:
        return self._membership.table.reachable.sample(self._random, count)

    def _send(self, names: list[str], reports: CrashReports) -> list[Effect]:
        return [effect for name in names for effect in self._membership.send(name, reports)]

    def _reports(self, now: float, suspects: list[Suspect]) -> CrashReports:
        """Return what fits one datagram, those first that ended most, then the newest."""
        suspects.sort(key=lambda item: (item.count, item.changed_at), reverse=True)
        told: list[CrashedRequest] = []
        left = REPORT_ENDS_MAX
        for suspect in suspects[:REQUESTS_TOLD_MAX]:
            request = _told_of(suspect, now)
            left -= len(request.crashes)
            if left < 0:
                break
            told.append(request)
        return CrashReports(tuple(told))

    def _is_mine_to_try(self, fingerprint: bytes) -> bool:
        """One node tries a suspect: the first of all that are reachable, in an order of its own."""
        reachable = self._membership.table.reachable
        names = reachable.first(len(reachable))
        own = _rank(fingerprint, self._identity.name)
        return all(own < _rank(fingerprint, name) for name in names)


def _rank(fingerprint: bytes, name: str) -> bytes:
    return hashlib.blake2b(fingerprint + name.encode(), digest_size=8).digest()


def _told_of(suspect: Suspect, now: float) -> CrashedRequest:
    newest = sorted(suspect.ends.items(), key=lambda item: item[1], reverse=True)
    ends = tuple(EndedBackend(number, _age(now, at)) for number, at in newest[:ENDS_TOLD_MAX])
    answered = _age(now, suspect.answered_at) if suspect.answered_at > -math.inf else None
    return CrashedRequest(suspect.fingerprint, ends, answered)


def _age(now: float, at: float) -> int:
    return max(0, int((now - at) * MILLISECONDS))


def _log(suspect: Suspect) -> Log:
    fields = {"fingerprint": suspect.fingerprint.hex(), "ends": suspect.count}
    return Log(Event.REQUEST_ENDS_BACKENDS, fields)
