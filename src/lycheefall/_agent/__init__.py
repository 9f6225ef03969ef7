"""Agent: the process that runs beside one upstream and passes attempts to it."""
