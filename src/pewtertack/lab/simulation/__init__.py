"""A fleet of real coordination cores on a simulated network, in virtual time."""
