"""Contracts and configuration: documents, their acceptance and their checkpoints."""
