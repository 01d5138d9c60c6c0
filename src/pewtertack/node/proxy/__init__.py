"""The proxy: an ASGI application towards callers, httptools towards back ends."""
