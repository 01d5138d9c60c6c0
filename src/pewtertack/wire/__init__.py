"""Messages between nodes, and their encoding as authenticated frames."""
