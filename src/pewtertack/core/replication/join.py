"""Joining: what a starting or woken node must learn before it serves.

A revision comes into force anywhere only after a majority holds it. A joiner
that hears from a majority therefore hears of every revision in force; in a large
fleet a bounded sample is asked, stratified by zones.
"""

from __future__ import annotations

from random import Random

import msgspec

from pewtertack.core.membership.table import MemberTable, QuorumMembers
from pewtertack.core.profile import TimingProfile
from pewtertack.core.revision import NO_REVISION, RevisionId
from pewtertack.wire.messages import VersionState

REPEAT_REQUESTS_PER_ROUND = 3
"""Peers that did not serve when they answered which are asked again in one round: all may have
started together, and a serving one may know what the joiner waits for."""


class PeerAnswer(msgspec.Struct, frozen=True):
    """What one peer answered in this round of joining."""

    zone: str
    state: VersionState
    received_at: float


class Joiner:
    """Collects answers of peers and decides when the node knows enough.

    The decision needs answers from a majority of the quorum members (or
    ``join_peers`` of them in a large fleet) in two zones where there are two.
    Serving peers are waited for; after ``join_patience`` other joiners count too,
    because a herd of replacements must not wait for the dead.
    """

    def __init__(
        self,
        zone: str,
        profile: TimingProfile,
        table: MemberTable,
        seeds: tuple[str, ...],
        random: Random,
    ) -> None:
        self._zone = zone
        self._profile = profile
        self._table = table
        self._seeds = seeds
        self._random = random
        self._answers: dict[str, PeerAnswer] = {}
        self._started_at = 0.0
        self._next_ask_at = 0.0

    def start(self, now: float) -> None:
        """Begin a new round: earlier answers say nothing about now."""
        self._answers.clear()
        self._started_at = now
        self._next_ask_at = now

    def on_answer(self, now: float, name: str, zone: str, state: VersionState) -> None:
        """Take in a peer's versions."""
        self._answers[name] = PeerAnswer(zone, state, now)

    def _discard_old_answers(self, now: float) -> None:
        """Ask anew: an old answer says little, and all may have come from one side of a cut."""
        oldest = now - self._profile.join_answer_lifetime
        for name, answer in list(self._answers.items()):
            if answer.received_at < oldest:
                del self._answers[name]

    def addresses_to_ask(self, now: float) -> list[tuple[str, str]]:
        """Return (name, address) of the peers to ask now; seeds have no name yet."""
        if now < self._next_ask_at:
            return []
        self._discard_old_answers(now)
        self._next_ask_at = now + self._profile.join_retry * self._random.uniform(0.8, 1.2)
        targets = {name: self._address(name) for name in self._stratified_sample()}
        known = set(targets.values())
        asked = list(targets.items())
        if len(self._answers) < self._profile.join_peers:
            asked += [("", seed) for seed in self._seeds if seed not in known]
        return asked + self._peers_to_ask_again()

    def _peers_to_ask_again(self) -> list[tuple[str, str]]:
        """Return some of those that have answered, while none of them served."""
        if self.has_serving_answer or not self._answers:
            return []
        names = self._random.sample(
            sorted(self._answers), min(REPEAT_REQUESTS_PER_ROUND, len(self._answers))
        )
        asked = [(name, self._address(name)) for name in names]
        return [(name, address) for name, address in asked if address]

    def _address(self, name: str) -> str:
        member = self._table.get(name)
        return member.update.address if member is not None else ""

    def _stratified_sample(self) -> list[str]:
        """Return unanswered members, as evenly over the zones as they allow."""
        pools = [self._unanswered(zone) for zone in self._table.reachable_zones()]
        self._random.shuffle(pools)
        chosen: list[str] = []
        wanted = self._profile.join_peers - len(self._answers)
        while any(pools) and len(chosen) < wanted:
            for pool in pools:
                if pool and len(chosen) < wanted:
                    chosen.append(pool.pop())
        return chosen

    def _unanswered(self, zone: str) -> list[str]:
        names = self._table.reachable_in_zone(zone).sample(
            self._random, 2 * self._profile.join_peers
        )
        unanswered = [name for name in names if name not in self._answers]
        self._random.shuffle(unanswered)
        return unanswered

    @property
    def has_serving_answer(self) -> bool:
        """Whether any peer that serves has answered."""
        return any(answer.state.serving for answer in self._answers.values())

    @property
    def newest_committed(self) -> RevisionId:
        """The newest committed revision that any peer told of."""
        marks = [answer.state.committed for answer in self._answers.values()]
        return max(marks, key=lambda mark: mark.number, default=NO_REVISION)

    @property
    def newest_held(self) -> RevisionId:
        """The newest revision that any peer holds."""
        held = [answer.state.held for answer in self._answers.values()]
        return max(held, key=lambda revision: revision.number, default=NO_REVISION)

    @property
    def newest_machine_list(self) -> int:
        """The highest number of a machine list that any peer has."""
        return max((answer.state.machine_list for answer in self._answers.values()), default=0)

    def may_bootstrap(self, now: float) -> bool:
        """Whether no serving peer answered for long enough to read the platform."""
        waited = now - self._started_at
        return not self.has_serving_answer and waited >= self._profile.bootstrap_delay

    def started_before(self, moment: float | None) -> bool:
        """Whether this round of joining began before ``moment``."""
        return moment is not None and self._started_at <= moment

    def waited_without_result(self, now: float) -> bool:
        """Whether nobody that serves has answered for as long as peers are waited for."""
        waited = now - self._started_at
        return not self.has_serving_answer and waited >= self._profile.join_patience

    def may_commit(self, now: float) -> bool:
        """Whether a joiner may decide a commit: the first fleet has nobody else to.

        The machine list tells it the size of the fleet; without one every seed must
        have answered. Joiners that hear just each other may be the smaller side of a
        cut.
        """
        if not self.may_bootstrap(now):
            return False
        return self._table.machine_list_known or self._every_seed_answered()

    def _every_seed_answered(self) -> bool:
        heard = {self._address(name) for name in self._answers}
        return heard.issuperset(self._seeds)

    def knows_enough(self, now: float, quorum: QuorumMembers) -> bool:
        """Whether enough peers answered to know every revision in force."""
        if self._is_isolated():
            return False
        needed = min(quorum.majority, self._profile.join_peers)
        if self._answered_zones() < quorum.required_zones:
            return False
        serving = sum(1 for answer in self._answers.values() if answer.state.serving)
        if serving >= needed:
            return True
        patient = now - self._started_at >= self._profile.join_patience
        return patient and len(self._answers) + 1 >= needed

    def _is_isolated(self) -> bool:
        """Whether nothing tells how large the fleet is."""
        return bool(self._seeds) and not self._answers and not self._table.machine_list_known

    def _answered_zones(self) -> int:
        return len({self._zone, *(answer.zone for answer in self._answers.values())})

    def is_held_wait_over(self, now: float, committed: RevisionId) -> bool:
        """Whether a newer held revision no longer holds up joining.

        A peer may hold a revision that a quorum already has in force, of which
        only the dead knew the commit. A majority holds it then, and commits it
        again as soon as its members reach each other: this is waited for without
        limit. Of two digests of one number perhaps neither is ever committed;
        these are waited for ``join_hold_wait`` only.
        """
        newest = self.newest_held
        if newest.number <= committed.number:
            return True
        if not self._is_forked(newest.number):
            return False
        return now - self._started_at >= self._profile.join_hold_wait

    def _is_forked(self, number: int) -> bool:
        """Whether peers hold different digests of one number."""
        held = {answer.state.held for answer in self._answers.values()}
        return sum(1 for revision in held if revision.number == number) > 1
