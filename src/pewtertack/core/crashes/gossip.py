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
IMMEDIATE_REPORTS_PER_SECOND = 10.0
"""Messages about new crashes that one node sends immediately, beyond a burst of
``IMMEDIATE_REPORTS_BURST``; the rest is left to the regular reports. Crashes at this rate cost each
node at most 10 KB a second."""
IMMEDIATE_REPORTS_BURST = 40.0
REPORT_INTERVAL_SECONDS = 1.0
REPORT_PEERS = 3
"""Peers that hear a regular report: one that returns from a cut misses all of the next three
seconds' reports with e^-9, 1 in 8,000."""
SINGLE_CRASH_REPORT_SECONDS = 10.0
"""For so long regular reports tell of requests that one back end alone ended under; those of
two and more are told until they are forgotten."""
MAX_CRASHES_PER_REPORT = 40
"""Ends in one report: each takes 14 bytes, a request 25; a datagram of 1,200 bytes holds them."""
MAX_REPORTED_CRASHES_PER_REQUEST = 10
"""Ends told of one request, the newest."""
MAX_REQUESTS_PER_REPORT = 16
LOGGED_CRASHES_MIN = 3
"""Ends from which a request is logged: what routes allow unless they say otherwise."""
MILLISECONDS_PER_SECOND = 1000


class CrashGossip:
    """Keeps one node's ledger and says whom to tell of what is new in it."""

    def __init__(self, identity: NodeIdentity, membership: Membership, random: Random) -> None:
        self.ledger = CrashLedger(self._is_trial_node)
        self._identity = identity
        self._membership = membership
        self._random = random
        self._next_report_at = -math.inf
        self._immediate_report_tokens = IMMEDIATE_REPORTS_BURST
        """News that may be told at once."""
        self._tokens_updated_at = -math.inf

    def on_crash(
        self, now: float, fingerprints: Iterable[bytes], number: int | None = None
    ) -> list[Effect]:
        """A back end ended while it ran these requests.

        Without a ``number`` this node alone can have seen it, and makes one up.
        """
        if number is None:
            number = self._random.getrandbits(63)
        news = [item for item in fingerprints if self.ledger.record_crash(item, number, now)]
        return self._spread(now, news)

    def on_answer(self, now: float, fingerprint: bytes) -> list[Effect]:
        """The back end beside this node answered a suspect."""
        if not self.ledger.record_answer(fingerprint, now):
            return []
        return self._spread(now, [fingerprint])

    def on_reports(self, now: float, reports: CrashReports) -> list[Effect]:
        """Merge what a peer knows; pass on what was news."""
        news = [item.fingerprint for item in reports.requests if self._merge(now, item)]
        return self._spread(now, news)

    def tick(self, now: float) -> list[Effect]:
        """Return the regular reports that are due."""
        if not len(self.ledger) or now < self._next_report_at:
            return []
        self._next_report_at = now + REPORT_INTERVAL_SECONDS
        self.ledger.forget_old(now)
        lasting = [
            item
            for item in self.ledger
            if item.crash_count > 1 or now - item.changed_at < SINGLE_CRASH_REPORT_SECONDS
        ]
        if not lasting:
            return []
        return self._send(self._sample(REPORT_PEERS), self._reports(now, lasting))

    def reports_for_joiner(self, now: float, name: str, address: str) -> list[Effect]:
        """Return everything that fits one datagram, for a peer that joins or has woken."""
        if not len(self.ledger):
            return []
        return [Send(name, address, self._reports(now, list(self.ledger)))]

    def _merge(self, now: float, item: CrashedRequest) -> bool:
        news = False
        for end in item.crashes:
            at = now - end.age_ms / MILLISECONDS_PER_SECOND
            news |= self.ledger.record_crash(item.fingerprint, end.number, at)
        if item.answered_ms_ago is not None:
            at = now - item.answered_ms_ago / MILLISECONDS_PER_SECOND
            news |= self.ledger.record_answer(item.fingerprint, at)
        return news

    def _spread(self, now: float, fingerprints: list[bytes]) -> list[Effect]:
        if not fingerprints:
            return []
        suspects = [item for item in self.ledger if item.fingerprint in fingerprints]
        effects: list[Effect] = [
            _log(item) for item in suspects if item.crash_count >= LOGGED_CRASHES_MIN
        ]
        if self._take_immediate_report_token(now):
            effects += self._send(self._sample(FAN_OUT), self._reports(now, suspects))
        return effects

    def _take_immediate_report_token(self, now: float) -> bool:
        earned = (now - self._tokens_updated_at) * IMMEDIATE_REPORTS_PER_SECOND
        self._immediate_report_tokens = min(
            IMMEDIATE_REPORTS_BURST, self._immediate_report_tokens + earned
        )
        self._tokens_updated_at = now
        if self._immediate_report_tokens < 1:
            return False
        self._immediate_report_tokens -= 1
        return True

    def _sample(self, count: int) -> list[str]:
        return self._membership.table.reachable.sample(self._random, count)

    def _send(self, names: list[str], reports: CrashReports) -> list[Effect]:
        return [effect for name in names for effect in self._membership.send(name, reports)]

    def _reports(self, now: float, suspects: list[Suspect]) -> CrashReports:
        """Return what fits one datagram, those first that ended most, then the newest."""
        suspects.sort(key=lambda item: (item.crash_count, item.changed_at), reverse=True)
        told: list[CrashedRequest] = []
        left = MAX_CRASHES_PER_REPORT
        for suspect in suspects[:MAX_REQUESTS_PER_REPORT]:
            request = _report_of(suspect, now)
            left -= len(request.crashes)
            if left < 0:
                break
            told.append(request)
        return CrashReports(tuple(told))

    def _is_trial_node(self, fingerprint: bytes) -> bool:
        """One node tries a suspect: the first of all that are reachable, in an order of its own."""
        reachable = self._membership.table.reachable
        names = reachable.first(len(reachable))
        own = _rank(fingerprint, self._identity.name)
        return all(own < _rank(fingerprint, name) for name in names)


def _rank(fingerprint: bytes, name: str) -> bytes:
    return hashlib.blake2b(fingerprint + name.encode(), digest_size=8).digest()


def _report_of(suspect: Suspect, now: float) -> CrashedRequest:
    newest = sorted(suspect.crashes.items(), key=lambda item: item[1], reverse=True)
    ends = tuple(
        EndedBackend(number, _age_milliseconds(now, at))
        for number, at in newest[:MAX_REPORTED_CRASHES_PER_REQUEST]
    )
    answered = (
        _age_milliseconds(now, suspect.answered_at) if suspect.answered_at > -math.inf else None
    )
    return CrashedRequest(suspect.fingerprint, ends, answered)


def _age_milliseconds(now: float, at: float) -> int:
    return max(0, int((now - at) * MILLISECONDS_PER_SECOND))


def _log(suspect: Suspect) -> Log:
    fields = {"fingerprint": suspect.fingerprint.hex(), "ends": suspect.crash_count}
    return Log(Event.REQUEST_ENDS_BACKENDS, fields)
