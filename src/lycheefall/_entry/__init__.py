"""Entry process: accepts the requests of callers and dispatches them to agents."""
