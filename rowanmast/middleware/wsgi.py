"""WSGI middleware (PEP 3333) for threaded hosts that places a call for a request."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import Any

from rowanmast.embed import CallRequest, EmbeddedRouter, RequestError, RouterClosed, StandingCall, Stands
from rowanmast.middleware.asgi import CALL_KEY
from rowanmast.middleware.mapping import (
    ErrorResponse,
    Headers,
    from_headers,
    response_for_closed_router,
    response_for_outcome,
    response_for_request_error,
)

Environ = dict[str, Any]
StartResponse = Callable[..., Any]
App = Callable[[Environ, StartResponse], Iterable[bytes]]
Describe = Callable[[Environ], CallRequest | None]


class WsgiRoutingMiddleware:
    """Places a call for each request that asks for one; the handler finds it under `rowanmast.call`.

    The call is released when the response has been sent (`close` of PEP 3333). `describe` maps an environ to
    a call; it, the other parameters and the error responses are as in RoutingMiddleware. The request's
    thread blocks until the outcome; the router's thread does not.
    """

    def __init__(
        self,
        app: App,
        router: EmbeddedRouter,
        describe: Describe | None = None,
        klass: str = "",
        wait_s: float = 0.0,
    ) -> None:
        self.app = app
        self.router = router
        self.describe = describe or (lambda environ: from_headers(headers_of(environ), klass, wait_s))

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        try:
            request = self.describe(environ)
            if request is None:
                return self.app(environ, start_response)
            outcome = self.router.place_blocking(request)
        except RequestError as error:
            return send_response(start_response, response_for_request_error(error))
        except RouterClosed:
            return send_response(start_response, response_for_closed_router())
        if not isinstance(outcome, Stands):
            return send_response(start_response, response_for_outcome(outcome))
        environ[CALL_KEY] = outcome.call
        try:
            return ReleasingResponse(self.app(environ, start_response), outcome.call)
        except BaseException:
            outcome.call.release()
            raise


class ReleasingResponse:
    """The application's response, whose `close` releases the call."""

    def __init__(self, parts: Iterable[bytes], call: StandingCall) -> None:
        self.body = parts
        self.call = call

    def __iter__(self) -> Iterator[bytes]:
        return iter(self.body)

    def close(self) -> None:
        try:
            close = getattr(self.body, "close", None)
            if close is not None:
                close()
        finally:
            self.call.release()


def headers_of(environ: Environ) -> Headers:
    names = (name for name in environ if name.startswith("HTTP_"))
    return {name[5:].lower().replace("_", "-"): str(environ[name]) for name in names}


def send_response(start_response: StartResponse, response: ErrorResponse) -> Iterable[bytes]:
    start_response(f"{response.status} {response.reason}", response.headers())
    return [response.body()]
