"""Command line, settings, configuration file, logging, metrics and the demo."""
