"""Simulated back end with slots, a connection limit, load shedding, draining and faults."""
