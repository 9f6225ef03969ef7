"""The pipeline between callers and agents."""
