"""Node processes that read the metadata store's stand-in."""
