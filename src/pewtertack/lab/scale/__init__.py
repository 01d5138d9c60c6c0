"""Scale runs: hollow nodes in one process, in virtual time, with measured slopes."""
