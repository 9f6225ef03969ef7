"""The pipeline beside an upstream."""
