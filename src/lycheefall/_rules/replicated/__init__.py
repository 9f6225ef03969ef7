"""State machine of the replicated log, one module for each kind of command."""
