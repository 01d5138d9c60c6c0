"""Measures the latency that one hop through the proxy adds to a call."""
