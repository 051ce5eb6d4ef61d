"""Routing and admission decisions for the call agents of a private voice network."""

from shaleplank.decide import CallAgent

__all__ = ["CallAgent"]
