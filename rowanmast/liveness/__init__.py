"""Detects whether the process of a switch is alive, and when the calls that stand there must be given up."""
