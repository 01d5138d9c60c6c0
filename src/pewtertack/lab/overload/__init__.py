"""Simulation of the request path under overload, in virtual time, compared with a baseline."""
