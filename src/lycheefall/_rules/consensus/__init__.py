"""Replicated log of the control replicas: Raft with pre-vote and a leader lease."""
