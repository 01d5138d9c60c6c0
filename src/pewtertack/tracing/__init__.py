"""Reconstructs the path of one request over all nodes from their logs."""
