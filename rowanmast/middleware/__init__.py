"""Middleware for web applications: calls placed by the embedded router, and the admission gate.

RoutingMiddleware (ASGI) and WsgiRoutingMiddleware turn a request into a call and give the handler the call
that stands. AdmissionMiddleware only admits or turns away, by the same decisions, and places no call.
"""

from rowanmast.middleware.admission import AdmissionMiddleware
from rowanmast.middleware.asgi import RoutingMiddleware
from rowanmast.middleware.mapping import from_headers
from rowanmast.middleware.wsgi import WsgiRoutingMiddleware

__all__ = [
    "AdmissionMiddleware",
    "RoutingMiddleware",
    "WsgiRoutingMiddleware",
    "from_headers",
]
