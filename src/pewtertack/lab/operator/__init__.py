"""An operator who edits, evacuates and takes back at random, on simulated nodes."""
