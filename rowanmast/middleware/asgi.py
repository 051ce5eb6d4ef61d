"""ASGI middleware (Starlette, FastAPI) that places a call for a request and passes it to the handler."""

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

MAX_BUFFERED_BYTES = 256 * 1024  # of a request's body while its call is being set up
CALL_KEY = "rowanmast.call"  # in the scope; Starlette handlers find the call in request.state.call too

Scope = MutableMapping[str, Any]
Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]
Describe = Callable[[Scope], CallRequest | None]


class RoutingMiddleware:
    """Places a call for each HTTP request that asks for one, and releases it when the application returns.

    The handler finds the standing call under `rowanmast.call` in the scope and in Starlette's
    `request.state.call`. The call is also released when the client disconnects while the application is
    receiving; a client that disconnects during the set-up cancels it.

    `describe` maps a scope to a call. If it returns None, the request passes through without a call; if it
    raises RequestError, the response is 400. By default the call is read from the headers (`from_headers`),
    with `klass` and `wait_s` (seconds) for headers that are absent. A refused call and a closed router are
    answered 503, a call without an answer in time 504, other failures 400 or 500.
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
        buffer = RequestBuffer(receive)
        try:
            outcome = await buffer.wait_for_outcome(ticket.outcome())
            if isinstance(outcome, Stands):
                with outcome.call as call:
                    buffer.call = call
                    scope[CALL_KEY] = call
                    scope.setdefault("state", {})["call"] = call
                    await self.app(scope, buffer.receive, send)
            elif outcome is not None:  # None: the client has disconnected, and the call was cancelled
                await send_response(send, response_for_outcome(outcome))
        finally:
            buffer.close()


class RequestBuffer:
    """Receives from the client while its call is being set up, and replays that to the application.

    Receiving during the set-up is what detects a client that disconnects.
    """

    def __init__(self, receive: Receive) -> None:
        self.upstream_receive = receive
        self.buffered: list[Message] = []
        self.buffered_bytes = 0
        self.pending: asyncio.Future[Message] | None = None
        self.disconnected = False
        self.call: StandingCall | None = None

    async def wait_for_outcome(self, outcome: Awaitable[Outcome]) -> Outcome | None:
        """Waits for the outcome; None if the client disconnects first, which cancels the call."""
        pending_outcome: asyncio.Future[Outcome] = asyncio.ensure_future(outcome)
        try:
            while not pending_outcome.done() and not self.disconnected:
                if self.pending is None and self.buffered_bytes < MAX_BUFFERED_BYTES:
                    self.pending = asyncio.ensure_future(self.upstream_receive())
                awaited: set[asyncio.Future[Any]] = {pending_outcome}
                if self.pending is not None:
                    awaited.add(self.pending)
                await asyncio.wait(awaited, return_when=asyncio.FIRST_COMPLETED)
                if self.pending is not None and self.pending.done():
                    self.buffer_pending()
        except BaseException:
            pending_outcome.cancel()
            raise
        if pending_outcome.done():
            return pending_outcome.result()
        pending_outcome.cancel()
        await asyncio.wait({pending_outcome})
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
        """The application's `receive`: first the buffered messages, then new ones."""
        if self.buffered:
            return self.buffered.pop(0)
        if self.pending is not None:
            pending, self.pending = self.pending, None
            message = await pending
        else:
            message = await self.upstream_receive()
        if message["type"] == "http.disconnect" and self.call is not None:
            self.call.release()  # the client no longer needs it
        return message


def headers_of(scope: Scope) -> Headers:
    """The headers by lower-case name; of a repeated header, the last."""
    return {name.decode("latin-1").lower(): value.decode("latin-1") for name, value in scope["headers"]}


async def send_response(send: Send, response: ErrorResponse) -> None:
    headers = [(name.encode(), value.encode()) for name, value in response.headers()]
    await send({"type": "http.response.start", "status": response.status, "headers": headers})
    await send({"type": "http.response.body", "body": response.body()})
