"""A fleet of real processes, nodes, simulated services and callers, with one recorded history."""
