"""The daemon: state, background loops and HTTP application."""
