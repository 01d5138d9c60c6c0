"""Checks of the history of a run against the guarantees of the system."""
