"""Replicated state machine, with one module per kind of command."""
