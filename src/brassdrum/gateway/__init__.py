"""Serve requests whose length is declared in headers, and pass answers on unchanged."""
