"""Simulated machine list of the platform, whose changes become visible with a lag."""
