"""A fault soak: a small fleet with gateways, lasting callers, and faults in overlapping series."""
