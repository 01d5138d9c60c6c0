"""Simulation of the request path under overload, in virtual time, against a baseline."""
