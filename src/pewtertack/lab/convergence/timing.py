"""The course of one measurement, the same for processes and in virtual time. Seconds."""

SETTLE = 3.0
"""Between the start of the last node and the source's becoming slow."""
WATCHED_AFTER = 12.0
"""For so long after the edit calls are counted, or until it is in force everywhere."""
GIVEN_UP_AFTER = 40.0
"""An edit that is not in force everywhere by then is not waited for any longer."""
FORMATION = 60.0
"""All nodes must serve within this long."""
