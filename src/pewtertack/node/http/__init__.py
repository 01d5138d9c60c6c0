"""HTTP/1.1 server and client: connections, request pipelining and an ASGI server.

Independent of the proxy and of its reasons for refusing requests. The responses to malformed
requests come from outside the package (``refusals``).
"""
