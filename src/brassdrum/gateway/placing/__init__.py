"""Select endpoints for requests by the load in flight at all endpoints."""
