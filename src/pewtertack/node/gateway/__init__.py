"""The node beside a back end: admits what other nodes forward to it."""
