"""Simulated configuration source, which serves numbered versions of the tree."""
