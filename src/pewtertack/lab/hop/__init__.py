"""Measures what one hop through the proxy adds to a call."""
