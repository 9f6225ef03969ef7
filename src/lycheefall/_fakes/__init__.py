"""Fake engines, services, ranks and weight store, for the demo, load runs and tests."""
