"""ASGI middleware (Starlette, FastAPI): a request becomes a call, and its handler gets the standing call."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

from rowanmast.embed import (
    CallRequest,
    EmbeddedRouter,
    Outcome,
    RequestError,
    RouterClosed,
    StandingCall,
    Stands,
)
from rowanmast.middleware.mapping import (
    ErrorResponse,
    Headers,
    from_headers,
    response_for_closed_router,
    response_for_outcome,
    response_for_request_error,
)

MAX_BUFFERED_BYTES = 256 * 1024  # bytes of a request's body that are kept while its call is being set up
CALL_KEY = "rowanmast.call"  # in the scope; in Starlette also request.state.call

Scope = MutableMapping[str, Any]
Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]
Describe = Callable[[Scope], CallRequest | None]


class RoutingMiddleware:
    """Places a call for each HTTP request that asks for one, and releases it when the request's end comes.

    `describe` makes the call of a scope; None lets the request through without one, and RequestError is
    answered 400. Left out, the headers say it (`from_headers`), with `klass` and `wait_s` (seconds) where
    they name none.
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
        self.describe = describe or (lambda scope: from_headers(headers_of(scope), klass, wait_s))

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            await self.app(scope, receive, send)
            return
        try:
            request = self.describe(scope)
            if request is None:
                await self.app(scope, receive, send)
                return
            ticket = self.router.submit(request)
        except RequestError as error:
            await send_response(send, response_for_request_error(error))
            return
        except RouterClosed:
            await send_response(send, response_for_closed_router())
            return
        early = RequestBuffer(receive)
        try:
            outcome = await early.wait_for_outcome(ticket.outcome())
            if isinstance(outcome, Stands):
                with outcome.call as call:
                    early.call = call
                    scope[CALL_KEY] = call
                    scope.setdefault("state", {})["call"] = call
                    await self.app(scope, early.receive, send)
            elif outcome is not None:  # None: the client has gone, and the call was taken back
                await send_response(send, response_for_outcome(outcome))
        finally:
            early.close()


class RequestBuffer:
    """Hears the client while its call is being set up, keeps what comes, hands it on to the application."""

    def __init__(self, receive: Receive) -> None:
        self.upstream_receive = receive
        self.buffered: list[Message] = []
        self.buffered_bytes = 0
        self.pending: asyncio.Future[Message] | None = None
        self.disconnected = False
        self.call: StandingCall | None = None

    async def wait_for_outcome(self, outcome: Awaitable[Outcome]) -> Outcome | None:
        """The outcome; None if the client went away first, which cancels it."""
        placing: asyncio.Future[Outcome] = asyncio.ensure_future(outcome)
        try:
            while not placing.done() and not self.disconnected:
                if self.pending is None and self.buffered_bytes < MAX_BUFFERED_BYTES:
                    self.pending = asyncio.ensure_future(self.upstream_receive())
                waits: set[asyncio.Future[Any]] = {placing}
                if self.pending is not None:
                    waits.add(self.pending)
                await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
                if self.pending is not None and self.pending.done():
                    self.buffer_pending()
        except BaseException:
            placing.cancel()
            raise
        if placing.done():
            return placing.result()
        placing.cancel()
        await asyncio.wait({placing})
        return None

    def buffer_pending(self) -> None:
        assert self.pending is not None
        message = self.pending.result()
        self.pending = None
        self.buffered.append(message)
        self.buffered_bytes += len(message.get("body", b"")) + 1
        self.disconnected = message["type"] == "http.disconnect"

    def close(self) -> None:
        if self.pending is not None:
            self.pending.cancel()

    async def receive(self) -> Message:
        """What the application calls: first what was kept, then what comes."""
        if self.buffered:
            return self.buffered.pop(0)
        if self.pending is not None:
            pending, self.pending = self.pending, None
            message = await pending
        else:
            message = await self.upstream_receive()
        if message["type"] == "http.disconnect" and self.call is not None:
            self.call.release()  # nobody is there to use it
        return message


def headers_of(scope: Scope) -> Headers:
    """The headers by name; of one that comes twice, the last."""
    return {name.decode("latin-1").lower(): value.decode("latin-1") for name, value in scope["headers"]}


async def send_response(send: Send, answer: ErrorResponse) -> None:
    headers = [(name.encode(), value.encode()) for name, value in answer.headers()]
    await send({"type": "http.response.start", "status": answer.status, "headers": headers})
    await send({"type": "http.response.body", "body": answer.body()})
