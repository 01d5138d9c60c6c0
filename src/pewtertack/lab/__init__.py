"""Stand-ins, load, faults, history checking and simulation for tests and measurements."""
