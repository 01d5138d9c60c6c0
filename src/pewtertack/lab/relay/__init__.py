"""Relay of the nodes' peer traffic, so that links between zones can fail in a real run."""
