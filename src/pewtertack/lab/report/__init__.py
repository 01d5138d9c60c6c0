"""Measurements of a run, taken from its history and from the metrics of its nodes."""
