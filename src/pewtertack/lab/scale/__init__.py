"""Scale runs: simulated nodes in one process, in virtual time, with measured cost per node."""
