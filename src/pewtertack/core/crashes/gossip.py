"""Gossip about back-end crashes and the requests that were being executed.

A new crash is reported immediately to some peers, and each node that did not know it forwards it
once. Peers that were partitioned at that time, or whose datagrams were lost, receive it with the
regular reports. A node that joins or resumes after a pause receives it from the peers it asks.
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
"""Number of peers that receive an immediate report. In a large fleet, a given node is missed with
a probability of e^-8, or 1 in 3,000."""
IMMEDIATE_REPORTS_PER_SECOND = 10.0
"""Messages about new crashes that one node sends immediately, beyond a burst of
``IMMEDIATE_REPORTS_BURST``; the rest is left to the regular reports. Crashes at this rate cost each
node at most 10 KB a second."""
IMMEDIATE_REPORTS_BURST = 40.0
REPORT_INTERVAL_SECONDS = 1.0
REPORT_PEERS = 3
"""Number of peers that receive a regular report. A node that returns from a network partition
misses all reports of the next three seconds with a probability of e^-9, or 1 in 8,000."""
SINGLE_CRASH_REPORT_SECONDS = 10.0
"""How long regular reports include a request with a single crash. Requests with two or more
crashes are reported until the ledger removes them."""
MAX_CRASHES_PER_REPORT = 40
"""Maximum number of crashes in one report. A crash takes 14 bytes and a request 25, so that a
report fits a datagram of 1,200 bytes."""
MAX_REPORTED_CRASHES_PER_REQUEST = 10
"""Maximum number of crashes reported for one request; the newest ones are reported."""
MAX_REQUESTS_PER_REPORT = 16
LOGGED_CRASHES_MIN = 3
"""Crashes from which a request is logged: the default crash limit of routes."""
MILLISECONDS_PER_SECOND = 1000


class CrashGossip:
    """Maintains the ledger of one node and decides which peers receive reports about it."""

    def __init__(self, identity: NodeIdentity, membership: Membership, random: Random) -> None:
        self.ledger = CrashLedger(self._is_trial_node)
        self._identity = identity
        self._membership = membership
        self._random = random
        self._next_report_at = -math.inf
        self._immediate_report_tokens = IMMEDIATE_REPORTS_BURST
        """Immediate reports that may be sent now."""
        self._tokens_updated_at = -math.inf

    def on_crash(
        self, now: float, fingerprints: Iterable[bytes], number: int | None = None
    ) -> list[Effect]:
        """Record that a back end crashed while it was executing these requests.

        The ``number`` identifies a crash that several nodes may observe. Without one, only this
        node can have observed the crash, and a random number is used.
        """
        if number is None:
            number = self._random.getrandbits(63)
        changed = [item for item in fingerprints if self.ledger.record_crash(item, number, now)]
        return self._spread(now, changed)

    def on_answer(self, now: float, fingerprint: bytes) -> list[Effect]:
        """Record that the local back end answered a suspect."""
        if not self.ledger.record_answer(fingerprint, now):
            return []
        return self._spread(now, [fingerprint])

    def on_reports(self, now: float, reports: CrashReports) -> list[Effect]:
        """Merge a peer's reports; forward those that were new."""
        changed = [item.fingerprint for item in reports.requests if self._merge(now, item)]
        return self._spread(now, changed)

    def tick(self, now: float) -> list[Effect]:
        """Return the regular reports that are due."""
        if not len(self.ledger) or now < self._next_report_at:
            return []
        self._next_report_at = now + REPORT_INTERVAL_SECONDS
        self.ledger.forget_old(now)
        reported = [
            item
            for item in self.ledger
            if item.crash_count > 1 or now - item.changed_at < SINGLE_CRASH_REPORT_SECONDS
        ]
        if not reported:
            return []
        return self._send(self._sample(REPORT_PEERS), self._reports(now, reported))

    def reports_for_joiner(self, now: float, name: str, address: str) -> list[Effect]:
        """Return a report for a peer that joins or resumes: all that fits one datagram."""
        if not len(self.ledger):
            return []
        return [Send(name, address, self._reports(now, list(self.ledger)))]

    def _merge(self, now: float, item: CrashedRequest) -> bool:
        changed = False
        for crash in item.crashes:
            at = now - crash.age_ms / MILLISECONDS_PER_SECOND
            changed |= self.ledger.record_crash(item.fingerprint, crash.number, at)
        if item.answered_ms_ago is not None:
            at = now - item.answered_ms_ago / MILLISECONDS_PER_SECOND
            changed |= self.ledger.record_answer(item.fingerprint, at)
        return changed

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
        """Return the reports that fit one datagram; most crashes first, then the newest."""
        suspects.sort(key=lambda item: (item.crash_count, item.changed_at), reverse=True)
        reported: list[CrashedRequest] = []
        remaining = MAX_CRASHES_PER_REPORT
        for suspect in suspects[:MAX_REQUESTS_PER_REPORT]:
            request = _report_of(suspect, now)
            remaining -= len(request.crashes)
            if remaining < 0:
                break
            reported.append(request)
        return CrashReports(tuple(reported))

    def _is_trial_node(self, fingerprint: bytes) -> bool:
        """Tell whether this node is the one that tries a suspect.

        It is the first of the reachable nodes in an order that differs for each suspect.
        """
        reachable = self._membership.table.reachable
        names = reachable.first(len(reachable))
        own_rank = _rank(fingerprint, self._identity.name)
        return all(own_rank < _rank(fingerprint, name) for name in names)


def _rank(fingerprint: bytes, name: str) -> bytes:
    return hashlib.blake2b(fingerprint + name.encode(), digest_size=8).digest()


def _report_of(suspect: Suspect, now: float) -> CrashedRequest:
    newest = sorted(suspect.crashes.items(), key=lambda item: item[1], reverse=True)
    crashes = tuple(
        EndedBackend(number, _age_milliseconds(now, at))
        for number, at in newest[:MAX_REPORTED_CRASHES_PER_REQUEST]
    )
    answered_ms_ago = (
        _age_milliseconds(now, suspect.answered_at) if suspect.answered_at > -math.inf else None
    )
    return CrashedRequest(suspect.fingerprint, crashes, answered_ms_ago)


def _age_milliseconds(now: float, at: float) -> int:
    return max(0, int((now - at) * MILLISECONDS_PER_SECOND))


def _log(suspect: Suspect) -> Log:
    fields = {"fingerprint": suspect.fingerprint.hex(), "ends": suspect.crash_count}
    return Log(Event.REQUEST_ENDS_BACKENDS, fields)
