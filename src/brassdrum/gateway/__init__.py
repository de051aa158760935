"""A gateway for requests that declare their length in headers; responses are relayed unchanged."""
