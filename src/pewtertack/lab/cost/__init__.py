"""Processor time and memory of one node process, compared with the budget of a node."""
