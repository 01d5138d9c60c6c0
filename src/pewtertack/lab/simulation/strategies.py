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

USUAL_NODES = 9
"""Usual size of a fleet; node indexes wrap around in smaller ones."""

USUAL_ZONES = 3
MAX_STEPS = 12

_waits = st.sampled_from((0.0, 0.001, 0.005, 0.02, 0.1, 0.5, 1.0, 3.0, 8.0))
"""Seconds. Short waits race the propagation of an edit, which takes some milliseconds; long waits
let it finish."""

_durations = st.sampled_from((0.05, 0.5, 1.5, 3.0, 6.0, 12.0, 25.0))
_nodes = st.integers(0, USUAL_NODES - 1)
_node_sets = st.lists(_nodes, min_size=1, max_size=USUAL_NODES // 2, unique=True).map(tuple)
_probabilities = st.sampled_from((0.0, 0.1, 0.3))


def steps() -> st.SearchStrategy[AnyStep]:
    """Return a strategy that draws one step."""
    return st.one_of(
        st.builds(EditTree, wait=_waits, valid=st.booleans(), count=st.integers(1, 3)),
        st.builds(EditTree, wait=_waits, forked=st.booleans()),
        st.builds(KillNodes, wait=_waits, nodes=_node_sets, back_after=_durations),
        st.builds(PauseNodes, wait=_waits, nodes=_node_sets, seconds=_durations),
        st.builds(DrainNode, wait=_waits, node=_nodes, back_after=_durations),
        st.builds(
            CutZone,
            wait=_waits,
            zone=st.integers(0, USUAL_ZONES - 1),
            direction=st.sampled_from(Direction),
            seconds=_durations,
        ),
        st.builds(SourceOutage, wait=_waits, seconds=_durations, machine_list=st.booleans()),
        st.builds(
            SourceStale,
            wait=_waits,
            seconds=_durations,
            versions=st.integers(1, 3),
            share=st.sampled_from((0.5, 1.0)),
        ),
        st.builds(
            DegradeNetwork,
            wait=_waits,
            seconds=_durations,
            loss=_probabilities,
            duplication=_probabilities,
            reordering=_probabilities,
        ),
    )


def schedules() -> st.SearchStrategy[Schedule]:
    """Return a strategy that draws a whole schedule."""
    return st.builds(
        Schedule,
        seed=st.integers(0, 2**16),
        steps=st.lists(steps(), min_size=1, max_size=MAX_STEPS).map(tuple),
        nodes=st.sampled_from((USUAL_NODES, 4, 6, 13, 5, 9, 36)),
        zones=st.sampled_from((USUAL_ZONES, 1, 2, 4, 5)),
        profile=st.sampled_from(("fast", "frugal")),
    )
