"""Typed messages between nodes and their encoding."""
