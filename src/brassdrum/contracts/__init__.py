"""Contracts and configuration: document models, control state and checkpoints."""
