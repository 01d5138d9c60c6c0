"""The daemon: sockets and tasks around the core and routing packages."""
