"""Durations of one measurement, the same for real processes and virtual time."""

SETTLE_SECONDS = 3.0
"""Pause between formation of the fleet and the time at which the source becomes slow."""
MIN_SECONDS_AFTER_EDIT = 12.0
"""Calls are counted for at least this long after the edit, and until it is in force everywhere."""
MAX_SECONDS_AFTER_EDIT = 40.0
"""Time limit after the edit; the measurement ends even if the edit is not in force everywhere."""
FORMATION_TIMEOUT_SECONDS = 60.0
"""Time limit until all nodes serve."""
