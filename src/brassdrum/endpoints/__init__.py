"""HTTP clients for endpoints: model engines and plain services."""
