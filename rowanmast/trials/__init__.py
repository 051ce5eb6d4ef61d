"""Fault trials: router processes and stand-ins on loopback, seeded faults, and a rule checker."""
