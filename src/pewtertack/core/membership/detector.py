"""SWIM-style failure detector with direct probes, indirect probes and suspicion.

One member is probed per interval in a shuffled round robin. Every member is therefore probed
within one round, and the traffic of a node does not grow with the size of the fleet.
"""

from __future__ import annotations

import math
from random import Random

import msgspec

from pewtertack.core.membership.table import Member, MemberTable
from pewtertack.core.profile import TimingProfile
from pewtertack.wire.messages import MemberStatus, MemberUpdate

RECONNECT_PROBERS = 8
"""Average number of nodes that probe an unreachable member in one reconnect interval."""

MAX_RELAYED_PROBES = 64
"""Maximum number of indirect probes that one node runs for others at a time."""


class ProbeDirect(msgspec.Struct, frozen=True):
    """Send a ping with ``sequence`` to ``target``."""

    target: str
    sequence: int


class ProbeIndirect(msgspec.Struct, frozen=True):
    """Ask each of ``helpers`` to probe ``target`` on behalf of this node."""

    target: str
    helpers: tuple[str, ...]
    sequence: int


class StatusChanged(msgspec.Struct, frozen=True):
    """The detector changed the status of a member."""

    update: MemberUpdate


class RelayAnswered(msgspec.Struct, frozen=True):
    """A member that was probed on behalf of ``requester`` answered."""

    requester: str
    sequence: int
    target: str


DetectorAction = ProbeDirect | ProbeIndirect | StatusChanged


class _Probe(msgspec.Struct, frozen=True):
    target: str
    sequence: int
    sent_at: float
    indirect: bool = False


class _Relay(msgspec.Struct, frozen=True):
    requester: str
    sequence: int
    target: str


class FailureDetector:
    """Probes the members of a table and changes their status in it."""

    def __init__(
        self, table: MemberTable, profile: TimingProfile, random: Random, now: float
    ) -> None:
        self._table = table
        self._profile = profile
        self._random = random
        self._pending_targets: list[str] = []
        self._probe: _Probe | None = None
        self._next_probe_at = now + random.uniform(0, profile.probe_interval)
        self._next_reconnect_at = now + profile.reconnect_interval
        self._suspected_at: dict[str, float] = {}
        self._relays: dict[int, _Relay] = {}
        self._sequence = 0

    def tick(self, now: float) -> list[DetectorAction]:
        """Return the probes to send and the status changes at ``now``."""
        actions = self._check_probe(now)
        actions += self._expire_suspicions(now)
        if now >= self._next_probe_at:
            actions += self._start_probe(now)
        if now >= self._next_reconnect_at:
            actions += self._start_reconnect(now)
        return actions

    def after_pause(self, now: float) -> None:
        """Drop probes in flight and restart suspicion timers after a pause of this process.

        Members may have answered while the process was paused, so their silence proves nothing.
        """
        self._probe = None
        self._relays.clear()
        self._next_probe_at = now
        self._suspected_at = dict.fromkeys(self._suspected_at, now)

    def on_acknowledge(self, sequence: int) -> RelayAnswered | None:
        """Process an acknowledgement; return the answer to relay if the probe was a relayed one."""
        if self._probe is not None and self._probe.sequence == sequence:
            self._probe = None
            return None
        relay = self._relays.pop(sequence, None)
        if relay is None:
            return None
        return RelayAnswered(relay.requester, relay.sequence, relay.target)

    def start_relay(self, requester: str, sequence: int, target: str) -> ProbeDirect | None:
        """Start a probe on behalf of ``requester``, unless the target is unknown."""
        if self._table.get(target) is None:
            return None
        if len(self._relays) >= MAX_RELAYED_PROBES:
            self._relays.pop(next(iter(self._relays)))
        own_sequence = self._new_sequence()
        self._relays[own_sequence] = _Relay(requester, sequence, target)
        return ProbeDirect(target, own_sequence)

    def _new_sequence(self) -> int:
        self._sequence += 1
        return self._sequence

    def _check_probe(self, now: float) -> list[DetectorAction]:
        probe = self._probe
        if probe is None:
            return []
        waited = now - probe.sent_at
        if waited >= self._profile.probe_interval:
            self._probe = None
            return self._suspect(probe.target, now)
        if waited >= self._profile.acknowledge_timeout and not probe.indirect:
            self._probe = msgspec.structs.replace(probe, indirect=True)
            return self._probe_indirectly(probe)
        return []

    def _probe_indirectly(self, probe: _Probe) -> list[DetectorAction]:
        names = self._table.reachable.sample(self._random, self._profile.indirect_probes + 1)
        helpers = tuple(name for name in names if name != probe.target)
        helpers = helpers[: self._profile.indirect_probes]
        return [ProbeIndirect(probe.target, helpers, probe.sequence)] if helpers else []

    def _start_probe(self, now: float) -> list[DetectorAction]:
        self._next_probe_at = now + self._profile.probe_interval
        target = self._next_target()
        if target is None:
            return []
        self._probe = _Probe(target, self._new_sequence(), now)
        return [ProbeDirect(target, self._probe.sequence)]

    def _next_target(self) -> str | None:
        while True:
            if not self._pending_targets:
                self._pending_targets = self._probe_targets()
                self._random.shuffle(self._pending_targets)
                if not self._pending_targets:
                    return None
            name = self._pending_targets.pop()
            member = self._table.get(name)
            if member is not None and member.status is not MemberStatus.DEAD:
                return name

    def _probe_targets(self) -> list[str]:
        members = self._table.all_members()
        return sorted(
            member.update.name for member in members if member.status is not MemberStatus.DEAD
        )

    def _start_reconnect(self, now: float) -> list[DetectorAction]:
        """Probe one unreachable member to notice that a network partition has healed.

        Only a share of the nodes does so in each interval. Otherwise every node of a large fleet
        would probe the few members that all of them consider dead.
        """
        self._next_reconnect_at = now + self._profile.reconnect_interval
        names = self._table.unreachable_names()
        probability = RECONNECT_PROBERS * len(names) / (len(self._table) + 1)
        if self._random.random() >= probability:
            return []
        return [ProbeDirect(self._random.choice(names), self._new_sequence())]

    def _suspect(self, name: str, now: float) -> list[DetectorAction]:
        member = self._table.get(name)
        if member is None or member.status is MemberStatus.DEAD:
            return []
        if member.status is MemberStatus.LEAVING:
            return self._declare(member, MemberStatus.DEAD, now)
        if member.status is MemberStatus.SUSPECT:
            return []
        return self._declare(member, MemberStatus.SUSPECT, now)

    def _declare(self, member: Member, status: MemberStatus, now: float) -> list[DetectorAction]:
        update = msgspec.structs.replace(member.update, status=status)
        self._table.merge(update, now)
        self.update_suspicion(update, now)
        return [StatusChanged(update)]

    def update_suspicion(self, update: MemberUpdate, now: float) -> None:
        """Start or stop the suspicion timer of a member whose status changed."""
        if update.status is MemberStatus.SUSPECT:
            self._suspected_at.setdefault(update.name, now)
        else:
            self._suspected_at.pop(update.name, None)

    def _expire_suspicions(self, now: float) -> list[DetectorAction]:
        if not self._suspected_at:
            return []
        timeout = self._suspicion_timeout()
        actions: list[DetectorAction] = []
        for name, since in list(self._suspected_at.items()):
            if now - since >= timeout:
                actions += self._declare_dead(name, now)
        return actions

    def _declare_dead(self, name: str, now: float) -> list[DetectorAction]:
        self._suspected_at.pop(name, None)
        member = self._table.get(name)
        if member is None or member.status is not MemberStatus.SUSPECT:
            return []
        return self._declare(member, MemberStatus.DEAD, now)

    def _suspicion_timeout(self) -> float:
        decades = math.ceil(math.log10(len(self._table) + 2))
        return self._profile.suspicion_rounds * decades * self._profile.probe_interval
