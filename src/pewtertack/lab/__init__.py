"""Stand-in services, load, fault injection, history checks and simulation for testing."""
