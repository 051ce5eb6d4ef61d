"""Switches with several addresses: the order of the addresses, the race for a connection, their history."""
