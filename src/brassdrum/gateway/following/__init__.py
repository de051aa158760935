"""Follow the store and peers, and keep what is believed of endpoints."""
