"""Fleets of nodes that read the stand-in of the metadata store."""
