"""Simulation of a fleet in virtual time: real coordination cores on a simulated network."""
