"""Load, experiments and reports; tools for developers, no part of the serving path."""
