"""Open-loop load generator and its report."""
