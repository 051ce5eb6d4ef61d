"""Middleware for web applications, based on the embedded router.

RoutingMiddleware (ASGI) and WsgiRoutingMiddleware place a call for a request and give its handler the
standing call. AdmissionMiddleware (ASGI) places no call: it admits or refuses requests by the same decisions.
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
