"""Memory and processor time of one real node, against the budget of a node."""
