"""Routing and admission decisions for the call agents of a private voice network."""

from rowanmast.call_agent import CallAgent

__all__ = ["CallAgent"]
