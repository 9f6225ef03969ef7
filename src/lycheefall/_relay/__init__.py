"""Relaying entries: reverse proxies that forward HTTP requests to upstreams unchanged.

accept > identify > place > send > respond, beside the links to the control replicas.
"""
