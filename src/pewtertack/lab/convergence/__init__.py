"""Measures the time until an edit is in force everywhere while the configuration source is slow."""
