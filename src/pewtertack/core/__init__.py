"""Coordination state machines that do no I/O; time and randomness are passed in."""
