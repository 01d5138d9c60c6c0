"""The proxy: an ASGI application for callers that forwards their requests to back ends."""
