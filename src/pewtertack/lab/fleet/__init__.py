"""A fleet of real processes: nodes, stand-ins and callers, with one recorded history."""
