"""Repeated restores of the platform's store from older copies, tested with real nodes."""
