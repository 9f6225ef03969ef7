"""Fakes of the platform's components, for the demo, load runs and tests."""
