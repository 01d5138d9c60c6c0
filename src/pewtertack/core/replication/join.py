"""Join protocol: what a node must learn from peers after a start or a pause before it serves.

A revision comes into force on any node only after a majority holds it. A joiner that receives
answers from a majority is therefore informed of every revision in force. In a large fleet it asks
a bounded sample instead, stratified by zone.
"""

from __future__ import annotations

from random import Random

import msgspec

from pewtertack.core.membership.table import MemberTable, QuorumMembers
from pewtertack.core.profile import TimingProfile
from pewtertack.core.revision import NO_REVISION, RevisionId
from pewtertack.wire.messages import VersionState

REPEAT_REQUESTS_PER_ROUND = 3
"""Number of peers asked again in one round because they did not serve when they answered. All nodes
may have started together, and a peer that serves by now may know what the joiner waits for."""


class PeerAnswer(msgspec.Struct, frozen=True):
    """The answer of one peer in the current round of joining."""

    zone: str
    state: VersionState
    received_at: float


class Joiner:
    """Collects the answers of peers and decides when the node knows enough to serve.

    The decision requires answers from a majority of the quorum members, or from ``join_peers`` of
    them in a large fleet, in two zones if there are two. At first only serving peers count. After
    ``join_patience`` other joiners count too, so that nodes that are all replaced together do not
    wait for dead ones.
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
        """Start a new round and discard earlier answers, which may be outdated."""
        self._answers.clear()
        self._started_at = now
        self._next_ask_at = now

    def on_answer(self, now: float, name: str, zone: str, state: VersionState) -> None:
        """Record the versions that a peer reported."""
        self._answers[name] = PeerAnswer(zone, state, now)

    def _discard_old_answers(self, now: float) -> None:
        """Discard old answers so that their peers are asked again.

        An old answer may be outdated, and all answers may be from one side of a network partition.
        """
        oldest = now - self._profile.join_answer_lifetime
        for name, answer in list(self._answers.items()):
            if answer.received_at < oldest:
                del self._answers[name]

    def addresses_to_ask(self, now: float) -> list[tuple[str, str]]:
        """Return (name, address) of the peers to ask now; the name of a seed is empty."""
        if now < self._next_ask_at:
            return []
        self._discard_old_answers(now)
        self._next_ask_at = now + self._profile.join_retry * self._random.uniform(0.8, 1.2)
        targets = {name: self._address(name) for name in self._stratified_sample()}
        known = set(targets.values())
        peers = list(targets.items())
        if len(self._answers) < self._profile.join_peers:
            peers += [("", seed) for seed in self._seeds if seed not in known]
        return peers + self._peers_to_ask_again()

    def _peers_to_ask_again(self) -> list[tuple[str, str]]:
        """Return some of the peers that have answered, as long as none of them served."""
        if self.has_serving_answer or not self._answers:
            return []
        names = self._random.sample(
            sorted(self._answers), min(REPEAT_REQUESTS_PER_ROUND, len(self._answers))
        )
        peers = [(name, self._address(name)) for name in names]
        return [(name, address) for name, address in peers if address]

    def _address(self, name: str) -> str:
        member = self._table.get(name)
        return member.update.address if member is not None else ""

    def _stratified_sample(self) -> list[str]:
        """Return members that have not answered, spread over the zones as evenly as possible."""
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
        """Whether any serving peer has answered."""
        return any(answer.state.serving for answer in self._answers.values())

    @property
    def newest_committed(self) -> RevisionId:
        """The newest committed revision that any peer reported."""
        marks = [answer.state.committed for answer in self._answers.values()]
        return max(marks, key=lambda mark: mark.number, default=NO_REVISION)

    @property
    def newest_held(self) -> RevisionId:
        """The newest held revision that any peer reported."""
        held = [answer.state.held for answer in self._answers.values()]
        return max(held, key=lambda revision: revision.number, default=NO_REVISION)

    @property
    def newest_machine_list(self) -> int:
        """The highest number of a machine list that any peer reported."""
        return max((answer.state.machine_list for answer in self._answers.values()), default=0)

    def may_bootstrap(self, now: float) -> bool:
        """Whether the node may read the platform, as no serving peer answered for long enough."""
        waited = now - self._started_at
        return not self.has_serving_answer and waited >= self._profile.bootstrap_delay

    def started_before(self, moment: float | None) -> bool:
        """Whether this round of joining started at or before ``moment``."""
        return moment is not None and self._started_at <= moment

    def waited_without_result(self, now: float) -> bool:
        """Whether no serving peer has answered within ``join_patience``."""
        waited = now - self._started_at
        return not self.has_serving_answer and waited >= self._profile.join_patience

    def may_commit(self, now: float) -> bool:
        """Whether a joiner may commit a revision, because a new fleet has no serving node to do so.

        The joiner needs the machine list, which gives the size of the fleet. Without one, every
        seed must have answered, because joiners that reach only each other may be the minority
        side of a network partition.
        """
        if not self.may_bootstrap(now):
            return False
        return self._table.machine_list_known or self._every_seed_answered()

    def _every_seed_answered(self) -> bool:
        answered = {self._address(name) for name in self._answers}
        return answered.issuperset(self._seeds)

    def knows_enough(self, now: float, quorum: QuorumMembers) -> bool:
        """Whether enough peers answered to be sure of every revision in force."""
        if self._is_isolated():
            return False
        needed = min(quorum.majority, self._profile.join_peers)
        if self._answered_zones() < quorum.required_zones:
            return False
        serving = sum(1 for answer in self._answers.values() if answer.state.serving)
        if serving >= needed:
            return True
        may_count_joiners = now - self._started_at >= self._profile.join_patience
        return may_count_joiners and len(self._answers) + 1 >= needed

    def _is_isolated(self) -> bool:
        """Whether the size of the fleet is unknown although there are seeds."""
        return bool(self._seeds) and not self._answers and not self._table.machine_list_known

    def _answered_zones(self) -> int:
        """Return the number of zones of the peers that answered and of this node."""
        return len({self._zone, *(answer.zone for answer in self._answers.values())})

    def is_held_wait_over(self, now: float, committed: RevisionId) -> bool:
        """Whether joining no longer has to wait for a newer revision that peers hold.

        A peer may hold a revision that is already in force on a quorum although only nodes that
        are now dead knew of its commit. A majority then holds it and commits it again as soon as
        its members reach each other, so the joiner waits for it without limit. If peers hold two
        digests of one number, possibly neither is ever committed, so the joiner waits only
        ``join_hold_wait``.
        """
        newest = self.newest_held
        if newest.number <= committed.number:
            return True
        if not self._is_forked(newest.number):
            return False
        return now - self._started_at >= self._profile.join_hold_wait

    def _is_forked(self, number: int) -> bool:
        """Whether peers hold different digests of this number."""
        held = {answer.state.held for answer in self._answers.values()}
        return sum(1 for revision in held if revision.number == number) > 1
