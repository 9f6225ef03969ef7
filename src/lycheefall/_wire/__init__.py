"""Codecs and sockets."""
