"""Fault trials: router processes among stand-ins on loopback, seeded faults, and rule checkers."""
