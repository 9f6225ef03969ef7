"""Messages between processes, one module a conversation."""
