"""Assembles a complete router from a checked configuration, and runs it as a daemon."""
