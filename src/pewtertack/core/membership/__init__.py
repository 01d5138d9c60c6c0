"""Fleet membership: failure detection, gossip and the member table."""
