"""The proxy: an ASGI application towards callers, httpcore towards back ends."""
