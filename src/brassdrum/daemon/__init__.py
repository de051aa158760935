"""One daemon: its state, its loops and its HTTP application."""
