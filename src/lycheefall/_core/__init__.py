"""Ids, states, codes, messages and the pipeline parts that every role shares."""
