"""Simulated switches, change log and stations on loopback, to try out and measure whole routers."""
