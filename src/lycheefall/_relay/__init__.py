"""Entries that pass HTTP requests on to upstreams unchanged.

accept > identify > place > send > answer, beside the link to the control replicas.
"""
