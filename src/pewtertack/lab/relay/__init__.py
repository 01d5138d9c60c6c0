"""Relay for peer traffic between real nodes, which simulates faults of the links between zones."""
