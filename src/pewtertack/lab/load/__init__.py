"""Callers: an open-loop load over the routes of a tree that records the result of each call."""
