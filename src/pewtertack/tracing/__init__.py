"""The way of one request over all nodes, from their logs."""
