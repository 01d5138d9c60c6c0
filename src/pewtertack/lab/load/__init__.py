"""Callers: an open-loop load over the routes of a tree, which records what callers are told."""
