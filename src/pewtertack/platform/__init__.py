"""Adapter for the users' platform; no other package uses the platform's names."""
