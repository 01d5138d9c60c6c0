"""Coordination state machines: no input or output, no clock, no randomness of their own."""
