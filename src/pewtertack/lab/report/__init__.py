"""Figures of a run, taken from its history and from the nodes' metrics."""
