"""Stand-in of a back end: slots, connections, shedding, draining, and many ways to misbehave."""
