"""Listen, connect and wait: the event loop and all sockets of a gateway."""
