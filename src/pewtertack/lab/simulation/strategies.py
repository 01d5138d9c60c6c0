"""Hypothesis strategies for schedules of faults and edits."""

from __future__ import annotations

from hypothesis import strategies as st

from pewtertack.lab.simulation.schedules import (
    AnyStep,
    CutZone,
    DegradeNetwork,
    Direction,
    DrainNode,
    EditTree,
    KillNodes,
    PauseNodes,
    Schedule,
    SourceOutage,
    SourceStale,
)

NODES = 9
"""Usual size of a fleet; node numbers wrap round in smaller ones."""

ZONES = 3
STEPS_LIMIT = 12

_waits = st.sampled_from((0.0, 0.001, 0.005, 0.02, 0.1, 0.5, 1.0, 3.0, 8.0))
"""Short ones race an edit's spread (some milliseconds), long ones let it finish."""

_spans = st.sampled_from((0.05, 0.5, 1.5, 3.0, 6.0, 12.0, 25.0))
_node = st.integers(0, NODES - 1)
_herd = st.lists(_node, min_size=1, max_size=NODES // 2, unique=True).map(tuple)
_share = st.sampled_from((0.0, 0.1, 0.3))


def steps() -> st.SearchStrategy[AnyStep]:
    """Return a strategy for single steps."""
    return st.one_of(
        st.builds(EditTree, wait=_waits, valid=st.booleans(), count=st.integers(1, 3)),
        st.builds(EditTree, wait=_waits, forked=st.booleans()),
        st.builds(KillNodes, wait=_waits, nodes=_herd, back_after=_spans),
        st.builds(PauseNodes, wait=_waits, nodes=_herd, seconds=_spans),
        st.builds(DrainNode, wait=_waits, node=_node, back_after=_spans),
        st.builds(
            CutZone,
            wait=_waits,
            zone=st.integers(0, ZONES - 1),
            direction=st.sampled_from(Direction),
            seconds=_spans,
        ),
        st.builds(SourceOutage, wait=_waits, seconds=_spans, machine_list=st.booleans()),
        st.builds(
            SourceStale,
            wait=_waits,
            seconds=_spans,
            versions=st.integers(1, 3),
            share=st.sampled_from((0.5, 1.0)),
        ),
        st.builds(
            DegradeNetwork,
            wait=_waits,
            seconds=_spans,
            loss=_share,
            duplication=_share,
            reordering=_share,
        ),
    )


def schedules() -> st.SearchStrategy[Schedule]:
    """Return a strategy for whole schedules."""
    return st.builds(
        Schedule,
        seed=st.integers(0, 2**16),
        steps=st.lists(steps(), min_size=1, max_size=STEPS_LIMIT).map(tuple),
        nodes=st.sampled_from((NODES, 4, 6, 13, 5, 9, 36)),
        zones=st.sampled_from((ZONES, 1, 2, 4, 5)),
        profile=st.sampled_from(("fast", "frugal")),
    )
