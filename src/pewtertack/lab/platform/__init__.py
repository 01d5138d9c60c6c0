"""Shared parts of the two simulated platform services: numbered documents read by long poll."""
