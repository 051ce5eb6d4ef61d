"""Toy switches, a toy change log and toy stations on loopback, to try and to measure whole routers with."""
