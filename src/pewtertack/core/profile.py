"""Timing profiles: trade-offs between a fleet's convergence time and its control traffic.

All durations are in seconds.
"""

from __future__ import annotations

import msgspec


class Mechanisms(msgspec.Struct, frozen=True):
    """Switches used only to validate checks: with one switched off, a check must fail."""

    quorum_gate: bool = True
    """Put a revision in force only after a quorum of replicas holds it."""
    join_before_serving: bool = True
    """Ask peers for the newest version before serving."""
    pause_detection: bool = True
    """Join again after a pause of the process."""
    validation: bool = True
    """Refuse invalid trees."""
    monotonic_numbers: bool = True
    """Ignore revisions older than the held one."""
    lazy_repair: bool = True
    """Learn of newer versions from probes, in addition to announcements."""


class SourceProperties(msgspec.Struct, frozen=True):
    """Properties of the configuration source that the platform's operators guarantee."""

    durable: bool = False
    """The source is linearizable and never loses or forks a revision that it has returned.

    Such a revision is committed as soon as one node has read it; no quorum is needed.
    """
    first_start: bool = False
    """The fleet starts for the first time, so the machine list fills while its nodes start."""
    wide_link: bool = False
    """This node's link transfers a long document quickly, so it is a preferred reader."""
    narrow_link: bool = False
    """This node's link transfers a long document slowly, so it pulls from peers first."""
    hold_after_return: float = 6.0
    """Seconds for which earlier knowledge takes precedence over a source restored from a copy."""


class TimingProfile(msgspec.Struct, frozen=True):
    """All periods and limits of the coordination core."""

    name: str = "fast"
    tick: float = 0.1
    probe_interval: float = 1.0
    acknowledge_timeout: float = 0.4
    indirect_probes: int = 3
    suspicion_rounds: float = 3.0
    """Probe intervals that a suspicion lasts, for each power of ten in the fleet's size."""
    reconnect_interval: float = 2.0
    """Time between two probes of an unreachable member."""
    dead_retention: float = 20.0
    """How long a dead member that is not listed still counts for the quorum's size."""
    forget_after: float = 600.0
    """How long a dead member still counts while no machine list is known."""
    fan_out: int = 4
    """Number of peers in the own zone that receive an announcement."""
    far_fan_out: int = 1
    """Number of peers in other zones that receive an announcement."""
    inline_delta_bytes: int = 0
    """Size of the largest delta sent within an announcement; 0 switches this off."""
    pull_timeout: float = 0.5
    snapshots_per_second: float = 8.0
    """Whole documents of one kind that a node sends to its peers per second, and in one burst."""
    wide_snapshots_per_second: float = 32.0
    """``snapshots_per_second`` of a node with a wide link. A compressed configuration of 2,000
    routes has some 60 KB, or 2 MB for 32 peers, and after a power failure only the few nodes that
    read the source have it."""
    report_retry: float = 0.5
    """How long a holder waits for a commit before it reports to further coordinators."""
    commit_coordinators: int = 2
    readership: str = "elected"
    """How the nodes that read the platform are chosen (``core.replication.readership``)."""
    heartbeat_interval: float = 0.5
    """How often a reader advertises what it holds in its zone, if ``readership`` is "leased"."""
    reader_lease: float = 1.3
    """A reader is replaced after this time without a heartbeat, or if its data is this old.

    Two heartbeats may be lost. Together with the time between two reads, a node whose readers
    all fail right after an edit still gets the edit within 2 s.
    """
    behind_patience: float = 2.7
    """Additional wait of a node that receives heartbeats but holds less than the readers."""
    takeover_step: float = 0.1
    """Each further node of a zone waits this much longer to take over; a read takes 0.05 s."""
    takeover_candidates: int = 6
    """Number of nodes of a zone, including its readers, that try a source which answers none."""
    late_takeover_step: float = 0.5
    """Additional wait of each node after these, so that a failing source is not overloaded."""
    volunteer_step: float = 0.25
    """A node with a wide link starts reading this much later for each member before it; by then
    it has received the heartbeats of the first ones."""
    joiner_step: float = 0.02
    """``volunteer_step`` of a joining node that knows no reader: after a power failure no node
    serves until one has read the source, which takes 0.1 s, and has informed the others."""
    narrow_patience: float = 1.0
    """How long a starting node with a narrow link waits for the configuration from its peers, which
    send it compressed. Read from the source, it would saturate the link (0.5 MB, 1.7 s at
    2.5 Mbit/s) and delay what the peers send."""
    few_readers_gap: float = 0.1
    """``read_gap`` where few nodes read, so that the source gets few reads per change."""
    reads_alone_below: int = 16
    """In a smaller fleet than this every node reads, if ``readership`` is "leased". Each node then
    reads over its own link. With 20 nodes on links of 2.5 Mbit/s, 0.5 MB of configuration and
    the value 32, a third of the hops between nodes took 0.3 s longer, and 88% of the requests'
    worth was served under light load; with 16 it was 99.5%, with a quarter of the calls."""
    readers_per_zone: int = 2
    readers_total: int = 16
    reader_settle: float = 1.0
    """A node starts reading the platform only after it has been chosen for this long."""
    read_wait: float = 5.0
    """Long-poll time requested from the platform.

    A platform that falls silent while the connection stays up is noticed only when the answer is
    due. Until then the node takes its documents for current: a change may be late by this time,
    the lease of the readers and one read.
    """
    preceded_read_wait: float = 0.0
    """Long-poll time of a reader while another one, which precedes it, reports recent answers to
    it, if that is longer than ``read_wait``; also that of the machine list where few nodes read.
    One reader's answers prove to all readers that the source is not silent."""
    read_gap: float = 0.05
    """Minimum time between an answer of the platform and the next read."""
    read_patience: float = 0.0
    """An answer of the source that takes longer than this, and longer than usual, is overdue, and
    another read is opened in parallel. 0 allows only one read of a document at a time."""
    read_overlap: float = 2.0
    """Seconds between the starts of two parallel reads of a slow source."""
    read_backoff: float = 0.5
    read_backoff_limit: float = 8.0
    join_retry: float = 0.3
    join_peers: int = 16
    """Number of answers that suffice to join a fleet of any size."""
    join_answer_lifetime: float = 5.0
    """A node that is still joining asks a peer again this long after the peer's answer."""
    join_patience: float = 1.5
    """Peers that have not answered after this time no longer delay joining."""
    join_hold_wait: float = 2.0
    """How long a joining node waits until one of two digests of the same number is committed."""
    first_start_delay: float = 0.0
    """How long a node waits for the machine list at the first start of its fleet."""
    bootstrap_delay: float = 1.0
    """A joining node reads the platform if no serving peer has answered for this long."""
    pause_threshold: float = 2.0
    """A longer gap between two ticks means that the process was paused."""
    mechanisms: Mechanisms = msgspec.field(default_factory=Mechanisms)


FAST = TimingProfile()
"""Shortest convergence time: for the records desk."""

FRUGAL = TimingProfile(
    name="frugal",
    tick=0.2,
    probe_interval=3.0,
    acknowledge_timeout=1.0,
    reconnect_interval=6.0,
    fan_out=3,
    read_wait=15.0,
    join_retry=0.6,
    join_patience=3.0,
    bootstrap_delay=2.0,
    pause_threshold=4.0,
)
"""Least control traffic: for volunteers' links."""

DIRECT = TimingProfile(
    name="direct",
    fan_out=1,
    far_fan_out=0,
    readers_per_zone=10_000,
    readers_total=100_000,
    reader_settle=0.0,
    read_wait=4.0,
    read_gap=0.6,
    read_patience=1.0,
    read_backoff=0.1,
    read_backoff_limit=1.0,
    join_retry=0.2,
    join_patience=1.0,
    bootstrap_delay=0.0,
)
"""Every node reads the source, which must sustain that; peers are the fallback for documents."""

LEASED = TimingProfile(
    name="leased",
    readership="leased",
    fan_out=1,
    far_fan_out=0,
    readers_per_zone=1,
    read_wait=4.0,
    preceded_read_wait=10.0,
    read_gap=0.6,
    read_patience=1.0,
    read_backoff=0.1,
    read_backoff_limit=1.0,
    join_retry=0.2,
    join_peers=3,
    first_start_delay=2.0,
    join_patience=1.0,
    bootstrap_delay=0.0,
)
"""One node per zone reads the source and advertises to the others how recent its data is;
in a small fleet every node reads, as with ``DIRECT``."""

PROFILES = {profile.name: profile for profile in (FAST, FRUGAL, DIRECT, LEASED)}
