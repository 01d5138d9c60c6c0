"""Translation between the users' platform and pewtertack; nothing else knows its names."""
