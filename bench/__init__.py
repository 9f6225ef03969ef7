"""Benchmarks, among them those behind the slopes in docs/CAPACITY.md."""
