"""HTTP/1.1 towards callers and operators: connections, their requests' order, a server.

Serves ASGI applications. Knows neither the proxy nor what it refuses for; what is told to
a caller whose bytes are no request comes from outside (``refusals``).
"""
