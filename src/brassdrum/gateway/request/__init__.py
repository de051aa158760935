"""Processing of one request: admission, queueing, attempts, retries and the response."""
