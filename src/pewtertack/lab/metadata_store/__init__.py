"""Stand-in of the users' metadata store with its published interface."""
