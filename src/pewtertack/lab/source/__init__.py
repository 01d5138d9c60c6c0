"""Stand-in of the configuration source: a readable service with a numbered tree."""
