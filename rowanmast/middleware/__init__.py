"""Middleware for web applications.

RoutingMiddleware (ASGI) and WsgiRoutingMiddleware place a call for a request through an embedded router and
give its handler the standing call. AdmissionMiddleware (ASGI) places no call and needs no router: it admits
or refuses requests by the decision module alone.
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
