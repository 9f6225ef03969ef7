"""Load generator and report."""
