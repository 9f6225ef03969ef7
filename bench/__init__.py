"""Benchmarks; the `*_slopes` modules measure the cost per unit of load in docs/CAPACITY.md."""
