"""Replication of the configuration and the machine list across the fleet."""
