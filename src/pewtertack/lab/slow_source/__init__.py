"""A series of edits and starts of nodes while the store is slow, against real nodes."""
