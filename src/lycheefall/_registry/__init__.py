"""Control replicas that upstreams, operators and callers ask directly over HTTP."""
