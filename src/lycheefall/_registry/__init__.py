"""Registries: control replicas that upstreams, operators and callers call directly over HTTP."""
