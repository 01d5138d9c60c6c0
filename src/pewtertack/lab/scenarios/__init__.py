"""Named failure scenarios for a fleet of real processes."""
