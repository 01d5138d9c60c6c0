"""Simulation of chains of nested calls in virtual time, and the latency that their hops add."""
