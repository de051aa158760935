"""Forward requests to another daemon while this one cannot reach the endpoints."""
