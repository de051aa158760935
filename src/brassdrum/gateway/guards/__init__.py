"""Keep requests that end endpoints away from them."""
