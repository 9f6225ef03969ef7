"""Messages between processes and between filters, one module per protocol."""
