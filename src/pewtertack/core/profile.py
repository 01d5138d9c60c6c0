"""Timing profiles: how a fleet trades convergence time against control bytes.

All durations are in seconds.
"""

from __future__ import annotations

import msgspec


class Mechanisms(msgspec.Struct, frozen=True):
    """Switches that exist for proofs only: a check must fail with one switched off."""

    quorum_gate: bool = True
    """Bring a revision into force only once a quorum of replicas holds it."""
    join_before_serving: bool = True
    """Ask peers for the newest version before serving."""
    pause_detection: bool = True
    """Join again after the process was paused."""
    validation: bool = True
    """Refuse invalid trees."""
    monotonic_numbers: bool = True
    """Ignore older revisions than the one held."""
    lazy_repair: bool = True
    """Learn of newer versions from probes, besides announcements."""


class SourceProperties(msgspec.Struct, frozen=True):
    """What the operators of the platform promise of the configuration source."""

    durable: bool = False
    """It is linearizable and never forgets or forks a revision that it has answered with.

    Such a revision is committed as soon as one node has read it: no majority is needed.
    """
    first_start: bool = False
    """The fleet starts for the first time: the machine list fills while its nodes start."""
    wide_link: bool = False
    """This node's link carries a long document quickly: where few nodes read, it goes first."""
    narrow_link: bool = False
    """It is known to carry a long document slowly: peers are asked first."""
    hold_after_return: float = 6.0
    """Seconds for which what was known holds against a source that has come back from a copy."""


class TimingProfile(msgspec.Struct, frozen=True):
    """Every period and bound of the coordination core."""

    name: str = "fast"
    tick: float = 0.1
    probe_interval: float = 1.0
    acknowledge_timeout: float = 0.4
    indirect_probes: int = 3
    suspicion_rounds: float = 3.0
    """Suspicion lasts this many probe intervals per decade of fleet size."""
    reconnect_interval: float = 2.0
    """How often one unreachable member is probed again."""
    dead_retention: float = 20.0
    """How long an unlisted dead member still counts in the quorum's denominator."""
    forget_after: float = 600.0
    """The same for dead members while no machine list is known."""
    fan_out: int = 4
    """Peers in the own zone that an announcement goes to."""
    far_fan_out: int = 1
    """Peers in other zones that an announcement goes to."""
    inline_delta_bytes: int = 0
    """Largest delta sent along with an announcement; 0 switches this off."""
    pull_timeout: float = 0.5
    snapshots_per_second: float = 8.0
    """Whole documents of one kind that a node sends to its peers in a second, and at once."""
    wide_snapshots_per_second: float = 32.0
    """The same over a wide link: a configuration of 2,000 routes is some 60 KB packed, 2 MB for
    32, and after a loss of power the few that read the source are all that have it."""
    report_retry: float = 0.5
    """How long a holder waits for a commit before it asks further coordinators."""
    commit_coordinators: int = 2
    readership: str = "elected"
    """Who reads the platform: a name of ``core.replication.readership``."""
    heartbeat_interval: float = 0.5
    """How often a reader tells its zone what it holds, where ``readership`` is "leased"."""
    reader_lease: float = 1.3
    """A reader unheard for this long, or whose word is this old, is replaced.

    Two heartbeats may be lost. With the time between two reads, a node whose readers all
    die right after an edit still has it within 2 s of the edit.
    """
    behind_patience: float = 2.7
    """Additional wait of a node that hears readers, but does not hold what they do."""
    takeover_step: float = 0.1
    """Each next node of a zone waits this much longer to take over: a read takes 0.05 s."""
    takeover_candidates: int = 6
    """So many nodes of a zone, readers included, try a source that answers none of them."""
    late_takeover_step: float = 0.5
    """What each node after them waits longer, so that a source in trouble meets no crowd."""
    volunteer_step: float = 0.25
    """A node with a wide link begins to read this much later for each member before it: by
    then it has heard the heartbeats of the first."""
    joiner_step: float = 0.02
    """The same while the node joins and has heard of no reader: after a loss of power nobody
    serves until one has asked the source, which takes 0.1 s, and told the others."""
    narrow_patience: float = 1.0
    """So long a node with a narrow link that starts leaves the configuration to its peers, which
    send it packed: read from the source it fills the link (0.5 MB, 1.7 s at 2.5 Mbit/s), and
    what the peers send waits behind it."""
    few_readers_gap: float = 0.1
    """``read_gap`` where few nodes read: the source is asked once a change, by few."""
    reads_alone_below: int = 16
    """In a fleet smaller than this every node reads, where ``readership`` is "leased". What all
    read they read over their own links: with 20 nodes on links of 2.5 Mbit/s, half a megabyte
    of configuration and 32 here, a third of the hops between nodes took 0.3 s longer and 0.88 of
    the worth was served on a quiet day; with 16 0.995, and a quarter of the calls."""
    readers_per_zone: int = 2
    readers_total: int = 16
    reader_settle: float = 1.0
    """A node reads the platform only after being chosen for this long."""
    read_wait: float = 5.0
    """Long-poll time asked of the platform."""
    read_gap: float = 0.05
    """Least time between an answer of the platform and the next read."""
    read_patience: float = 0.0
    """An answer of the source that takes longer, and longer than usual, is overdue: another read
    is opened beside it. 0 opens one read of a document at a time."""
    read_overlap: float = 2.0
    """Seconds between two reads of a slow source that are open at once."""
    read_backoff: float = 0.5
    read_backoff_limit: float = 8.0
    join_retry: float = 0.3
    join_peers: int = 16
    """Answers that suffice to join a fleet of any size."""
    join_answer_lifetime: float = 5.0
    """After this long without joining, peers that answered are asked again."""
    join_patience: float = 1.5
    """After this long, peers which do not answer no longer hold up joining."""
    join_hold_wait: float = 2.0
    """How long a joiner waits for one of two digests of a number to be committed."""
    first_start_delay: float = 0.0
    """How long a node of a fleet that starts for the first time waits for the machine list."""
    bootstrap_delay: float = 1.0
    """A joiner reads the platform when no serving peer answered for this long."""
    pause_threshold: float = 2.0
    """A gap between ticks which means that the process was paused."""
    mechanisms: Mechanisms = msgspec.field(default_factory=Mechanisms)


FAST = TimingProfile()
"""Shortest convergence: for the records desk."""

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
"""Fewest control bytes: for volunteers' links."""

DIRECT = TimingProfile(
    name="direct",
    fan_out=1,
    far_fan_out=0,
    readers_per_zone=10_000,
    readers_total=100_000,
    reader_settle=0.0,
    read_wait=10.0,
    read_gap=0.6,
    read_patience=1.0,
    read_backoff=0.1,
    read_backoff_limit=1.0,
    join_retry=0.2,
    join_patience=1.0,
    bootstrap_delay=0.0,
)
"""Every node reads a source that bears it; peers are the second way to each document."""

LEASED = TimingProfile(
    name="leased",
    readership="leased",
    fan_out=1,
    far_fan_out=0,
    readers_per_zone=1,
    read_wait=10.0,
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
"""One node a zone reads a source that bears it and tells the others how old its word is;
in a small fleet every node reads, as with ``DIRECT``."""

PROFILES = {profile.name: profile for profile in (FAST, FRUGAL, DIRECT, LEASED)}
