"""Identifiers, states, result codes, messages and pipeline primitives shared by all roles."""
