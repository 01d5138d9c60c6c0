"""The gateway: admits requests that other nodes forward to this node's local back end."""
