"""Several addresses of one switch: their order, the race for a connection, and what is remembered of each."""
