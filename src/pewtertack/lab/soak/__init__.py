"""Soak test of a small fleet with gateways under persistent connections and concurrent faults."""
