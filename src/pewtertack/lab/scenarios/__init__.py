"""Named failure scenarios over a fleet of real processes."""
