"""Settings, command line, logging and metrics."""
