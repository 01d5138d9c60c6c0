"""Simulation of calls within calls, in virtual time, and the sum of many hops' latency."""
