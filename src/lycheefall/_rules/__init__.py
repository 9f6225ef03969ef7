"""Decisions as deterministic functions of state, message and time."""
