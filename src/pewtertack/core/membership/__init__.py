"""Who is in the fleet: probes, suspicion, incarnations."""
