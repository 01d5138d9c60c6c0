"""Simulation in virtual time of a request that crashes back ends."""
