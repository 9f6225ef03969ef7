"""State machine of the replicated log."""
