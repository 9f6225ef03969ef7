"""Small stand-ins for the platform, for demo, load and tests."""
