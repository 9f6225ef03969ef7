"""Codecs, HTTP connections and ZeroMQ sockets."""
