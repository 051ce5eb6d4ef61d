"""AdmissionMiddleware alone and under Starlette, with a manual clock."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from starlette.applications import Starlette
from starlette.middleware import Middleware
from starlette.requests import Request
from starlette.responses import PlainTextResponse
from starlette.routing import Route

from rowanmast.middleware import AdmissionMiddleware

MS = 1_000_000


class ManualClock:
    """A clock in nanoseconds that only tests advance."""

    now = 10**12

    def __call__(self) -> int:
        return self.now


def get(app: Any, path: str = "/") -> tuple[int, dict[bytes, bytes], bytes]:
    """One GET through an ASGI application."""
    sent: list[Any] = []

    async def receive() -> dict[str, Any]:
        return {"type": "http.request", "body": b"", "more_body": False}

    async def send(message: Any) -> None:
        sent.append(message)

    scope = {"type": "http", "method": "GET", "path": path, "query_string": b"", "headers": []}
    asyncio.run(app(scope, receive, send))
    body = b"".join(message.get("body", b"") for message in sent[1:])
    return sent[0]["status"], dict(sent[0]["headers"]), body


def make_app(clock: ManualClock, work_ms: list[int]) -> Starlette:
    async def page(request: Request) -> PlainTextResponse:
        clock.now += work_ms[0] * MS
        return PlainTextResponse("parcel")

    middleware = Middleware(AdmissionMiddleware, aim_s=0.4, deadline_s=5.0, clock=clock)
    return Starlette(routes=[Route("/", page)], middleware=[middleware])


def test_requests_pass_while_responses_are_quick() -> None:
    clock, work_ms = ManualClock(), [20]
    app = make_app(clock, work_ms)
    for _ in range(200):
        assert get(app)[::2] == (200, b"parcel")
        clock.now += 10 * MS


def test_late_responses_throttle_and_quick_ones_lift_it() -> None:
    clock, work_ms = ManualClock(), [20]
    app = make_app(clock, work_ms)
    for _ in range(100):
        get(app)
    work_ms[0] = 300  # above the delay target of 100 ms
    statuses = []
    for _ in range(60):
        status, headers, _ = get(app)
        statuses.append(status)
        if status == 503:
            assert 1 <= int(headers[b"retry-after"]) <= 10
            clock.now += 5 * MS
    assert statuses.count(503) > 5 and 200 in statuses
    work_ms[0] = 10
    for _ in range(2000):
        statuses.append(get(app)[0])
        clock.now += 20 * MS
    assert set(statuses[-500:]) == {200}


def test_failed_request_leaves_no_state() -> None:
    async def broken(scope: Any, receive: Any, send: Any) -> None:
        raise RuntimeError("odd")

    middleware = AdmissionMiddleware(broken, clock=ManualClock())
    for _ in range(3):
        with pytest.raises(RuntimeError):
            get(middleware)
    assert not middleware.agent.pending_calls and not any(
        far.unanswered for far in middleware.agent.exchanges.values()
    )


def test_other_scopes_pass_through() -> None:
    seen = []

    async def app(scope: Any, receive: Any, send: Any) -> None:
        seen.append(scope["type"])

    asyncio.run(AdmissionMiddleware(app)({"type": "lifespan"}, None, None))  # type: ignore[arg-type]
    assert seen == ["lifespan"]
