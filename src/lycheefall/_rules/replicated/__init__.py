"""The state machine of the replicated log."""
