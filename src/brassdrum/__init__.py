"""Serve prompts of very different lengths from one shared language-model fleet."""

__all__ = ["__version__"]

__version__ = "0.1.0"
