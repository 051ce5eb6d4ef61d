"""WSGI middleware (PEP 3333) for threaded hosts: a request becomes a call that stands for its handler."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import Any

from rowanmast.embed import CallRequest, EmbeddedRouter, RequestError, RouterClosed, StandingCall, Stands
from rowanmast.middleware.asgi import KEY
from rowanmast.middleware.mapping import Headers, Reply, from_headers, of_closed, of_error, of_outcome

Environ = dict[str, Any]
StartResponse = Callable[..., Any]
App = Callable[[Environ, StartResponse], Iterable[bytes]]
Describe = Callable[[Environ], CallRequest | None]


class WsgiRoutingMiddleware:
    """Places a call for each request that asks for one; the handler finds it under `rowanmast.call`.

    It is released when the response has been sent (PEP 3333's `close`), and `describe` is as in the ASGI
    middleware, of an environ. The request's thread waits for the outcome; the router's own thread never does.
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
            return reply(start_response, of_error(error))
        except RouterClosed:
            return reply(start_response, of_closed())
        if not isinstance(outcome, Stands):
            return reply(start_response, of_outcome(outcome))
        environ[KEY] = outcome.call
        try:
            return Response(self.app(environ, start_response), outcome.call)
        except BaseException:
            outcome.call.release()
            raise


class Response:
    """The application's response, whose end releases the call."""

    def __init__(self, parts: Iterable[bytes], call: StandingCall) -> None:
        self.parts = parts
        self.call = call

    def __iter__(self) -> Iterator[bytes]:
        return iter(self.parts)

    def close(self) -> None:
        try:
            close = getattr(self.parts, "close", None)
            if close is not None:
                close()
        finally:
            self.call.release()


def headers_of(environ: Environ) -> Headers:
    names = (name for name in environ if name.startswith("HTTP_"))
    return {name[5:].lower().replace("_", "-"): str(environ[name]) for name in names}


def reply(start_response: StartResponse, answer: Reply) -> Iterable[bytes]:
    start_response(f"{answer.status} {answer.reason}", answer.headers())
    return [answer.body()]
