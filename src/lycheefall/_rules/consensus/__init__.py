"""Agreement between control replicas on one log (Raft with pre-vote and leader lease)."""
