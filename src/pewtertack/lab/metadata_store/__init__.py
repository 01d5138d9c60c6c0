"""Stand-in of the users' metadata store, by its published interface."""
