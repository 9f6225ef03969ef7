"""Benchmarks that measure the slopes used in docs/CAPACITY.md."""
