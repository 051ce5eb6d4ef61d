"""The routing middlewares in applications on loopback: Starlette with uvicorn, and a threaded WSGI server."""

from __future__ import annotations

import asyncio
import contextlib
import http.client
import socket
import threading
import time
from collections.abc import AsyncIterator, Iterator
from socketserver import ThreadingMixIn
from typing import Any
from wsgiref.simple_server import WSGIRequestHandler, WSGIServer, make_server

import pytest
import uvicorn
from fleet import Fleet
from starlette.applications import Starlette
from starlette.middleware import Middleware
from starlette.requests import Request
from starlette.responses import PlainTextResponse, StreamingResponse
from starlette.routing import Route
from test_embed import make_config, wait_until

from rowanmast.core.ports import Failure
from rowanmast.embed import EmbeddedRouter, Failed, Refused, RequestError
from rowanmast.middleware import RoutingMiddleware, WsgiRoutingMiddleware, from_headers
from rowanmast.middleware.mapping import response_for_closed_router, response_for_outcome

CALL_HEADERS = {"X-Call-Number": "71", "X-Call-Dest": "1", "X-Call-Text": "parcel"}


@pytest.fixture(scope="module")
def fleet() -> Iterator[Fleet]:
    with Fleet([1, 2, 3], hold_s=60.0) as fleet:
        yield fleet
        report = fleet.report()
        assert (report["violations"], report["in_flight"], report["standing"]) == ([], 0, 0)


@pytest.fixture(scope="module")
def router(fleet: Fleet) -> Iterator[EmbeddedRouter]:
    with EmbeddedRouter(make_config(fleet)) as router:
        assert router.wait_ready()
        yield router


handled_bodies: list[str] = []


async def lookup(request: Request) -> PlainTextResponse:
    call = getattr(request.state, "call", None)
    body = (await request.body()).decode()
    handled_bodies.append(body)
    stands = call is not None and call.ending is None
    return PlainTextResponse(f"{call.text if call else 'no call'} {stands} {len(body)}")


async def stream(request: Request) -> StreamingResponse:
    call = request.state.call

    async def parts() -> AsyncIterator[str]:
        for index in range(200):
            yield f"{index} {call.ending is None}\n"
            await asyncio.sleep(0.02)

    return StreamingResponse(parts())


async def broken(request: Request) -> PlainTextResponse:
    raise RuntimeError("odd")


@pytest.fixture(scope="module")
def served(router: EmbeddedRouter) -> Iterator[tuple[str, int]]:
    seen_scopes: list[str] = []

    @contextlib.asynccontextmanager
    async def lifespan(app: Any) -> AsyncIterator[None]:
        seen_scopes.append("lifespan")
        yield

    app = Starlette(
        routes=[
            Route("/lookup", lookup, methods=["GET", "POST"]),
            Route("/drip", stream),
            Route("/broken", broken),
        ],
        middleware=[Middleware(RoutingMiddleware, router=router, klass="plain", wait_s=1.0)],
        lifespan=lifespan,
    )
    with socket.create_server(("127.0.0.1", 0)) as listening:
        server = uvicorn.Server(uvicorn.Config(app, log_level="critical"))
        thread = threading.Thread(target=server.run, kwargs={"sockets": [listening]})
        thread.start()
        wait_until(lambda: server.started)
        assert seen_scopes == ["lifespan"], "the lifespan scope did not pass through"
        yield listening.getsockname()
        server.should_exit = True
        thread.join(5)


def send_request(
    address: tuple[str, int],
    path: str = "/lookup",
    method: str = "GET",
    body: bytes | None = None,
    **headers: str,
) -> tuple[int, str, http.client.HTTPResponse]:
    connection = http.client.HTTPConnection(*address, timeout=5)
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    connection.request(method, path, body=body, headers={**CALL_HEADERS, **named})
    response = connection.getresponse()
    text = response.read().decode()
    connection.close()
    return response.status, text.strip(), response


def test_handler_gets_standing_call_which_is_released_afterwards(
    fleet: Fleet, router: EmbeddedRouter, served: tuple[str, int]
) -> None:
    assert send_request(served)[:2] == (200, "at s1 True 0")
    assert send_request(served, method="POST", body=b"x" * 100_000)[:2] == (200, "at s1 True 100000")
    assert send_request(served, "/broken")[0] == 500
    wait_until(lambda: fleet.report()["standing"] == 0)
    assert router.counts() == (0, 0)


def test_request_without_call_headers_passes_through(served: tuple[str, int]) -> None:
    connection = http.client.HTTPConnection(*served, timeout=5)
    connection.request("GET", "/lookup")
    assert connection.getresponse().read() == b"no call False 0"
    connection.close()


def test_outcomes_and_invalid_headers_become_responses(fleet: Fleet, served: tuple[str, int]) -> None:
    status, _, response = send_request(served, X_Call_Dest="77")
    assert (status, response.getheader("retry-after")) == (503, "1")
    fleet.command("mute", "s2")
    started = time.monotonic()
    status, text, _ = send_request(served, X_Call_Dest="2", X_Call_Class="unsafe", X_Call_Wait_Ms="300")
    assert (status, text) == (504, "no answer in time")
    assert 0.2 < time.monotonic() - started < 0.5
    fleet.command("unmute", "s2")
    before = len(handled_bodies)
    for headers, message in (
        ({"X_Call_Dest": "x"}, "x-call-dest: 'x' is no figure"),
        ({"X_Call_Wait_Ms": "0"}, "x-call-wait-ms: give 1 to 3600000 milliseconds"),
        ({"X_Call_Class": "odd"}, "klass: 'odd' is not in the settings"),
        ({"X_Call_Width": "0"}, "width: 0 is no number of circuits"),
        ({"X_Call_Number": ""}, "number: give 1 to"),
    ):
        status, text, _ = send_request(served, **headers)
        assert status == 400 and text.startswith(message)
    assert len(handled_bodies) == before, "a handler ran"


def test_client_disconnecting_during_set_up_cancels_call(
    fleet: Fleet, router: EmbeddedRouter, served: tuple[str, int]
) -> None:
    fleet.command("mute", "s3")
    before = len(handled_bodies)
    with socket.create_connection(served) as client:
        head = "GET /lookup HTTP/1.1\r\nHost: x\r\nX-Call-Number: 7\r\nX-Call-Dest: 3\r\n\r\n"
        client.sendall(head.encode())
        wait_until(lambda: fleet.report()["in_flight"] == 1)
    wait_until(lambda: fleet.report()["in_flight"] == 0, 0.5)
    assert router.counts() == (0, 0) and len(handled_bodies) == before
    fleet.command("unmute", "s3")


def test_client_disconnecting_during_stream_releases_call(
    fleet: Fleet, router: EmbeddedRouter, served: tuple[str, int]
) -> None:
    with socket.create_connection(served) as client:
        head = "GET /drip HTTP/1.1\r\nHost: x\r\nX-Call-Number: 7\r\nX-Call-Dest: 1\r\n\r\n"
        client.sendall(head.encode())
        received = b""
        while b"3 True" not in received:
            received += client.recv(4096)
    wait_until(lambda: fleet.report()["standing"] == 0, 1.0)
    assert router.counts() == (0, 0)


class ThreadedServer(ThreadingMixIn, WSGIServer):
    daemon_threads = True


class QuietHandler(WSGIRequestHandler):
    def log_message(self, *_: Any) -> None:
        pass


def wsgi_app(environ: dict[str, Any], start_response: Any) -> Any:
    call = environ.get("rowanmast.call")
    if environ["PATH_INFO"] == "/broken":
        raise RuntimeError("odd")
    start_response("200 OK", [("content-type", "text/plain")])

    def parts() -> Iterator[bytes]:
        yield (call.text if call else "no call").encode()
        yield b" stands" if call and call.ending is None else b" "

    return parts()


def test_wsgi_handler_gets_standing_call(fleet: Fleet, router: EmbeddedRouter) -> None:
    wrapped = WsgiRoutingMiddleware(wsgi_app, router, klass="plain", wait_s=1.0)
    with make_server("127.0.0.1", 0, wrapped, ThreadedServer, QuietHandler) as server:
        server_thread = threading.Thread(target=server.serve_forever)
        server_thread.start()
        address = server.server_address[:2]
        try:
            results: list[tuple[int, str]] = []
            threads = [
                threading.Thread(target=lambda: results.append(send_request(address)[:2])) for _ in range(20)
            ]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            assert results == [(200, "at s1 stands")] * 20
            status, _, response = send_request(address, X_Call_Dest="77")
            assert (status, response.getheader("retry-after")) == (503, "1")
            assert send_request(address, X_Call_Wait_Ms="x")[:2] == (400, "x-call-wait-ms: 'x' is no figure")
            wait_until(lambda: fleet.report()["standing"] == 0)
        finally:
            server.shutdown()
            server_thread.join()
    with pytest.raises(RuntimeError, match="odd"):
        wrapped(make_environ("/broken"), lambda *_: None)
    assert list(wrapped({"PATH_INFO": "/"}, lambda *_: None)) == [b"no call", b" "]
    wait_until(lambda: router.counts() == (0, 0))


def make_environ(path: str) -> dict[str, Any]:
    return {
        "PATH_INFO": path,
        **{f"HTTP_{name.upper().replace('-', '_')}": CALL_HEADERS[name] for name in CALL_HEADERS},
    }


def test_closed_router_is_answered_503(fleet: Fleet) -> None:
    closed = EmbeddedRouter(make_config(fleet, "n9"))
    responses: list[Any] = []
    wrapped = WsgiRoutingMiddleware(wsgi_app, closed, klass="plain", wait_s=1.0)
    body = wrapped(make_environ("/"), lambda *arguments: responses.append(arguments))
    assert responses[0][0] == "503 Service Unavailable" and ("retry-after", "1") in responses[0][1]
    assert list(body) == [b"the router is closed, come back later\n"]
    sent: list[Any] = []

    async def never() -> Any:
        raise AssertionError("the application was called")

    async def send(message: Any) -> None:
        sent.append(message)

    headers = [(name.lower().encode(), value.encode()) for name, value in CALL_HEADERS.items()]
    app: Any = never
    scope = {"type": "http", "headers": headers}
    asyncio.run(RoutingMiddleware(app, closed, klass="plain", wait_s=1.0)(scope, never, send))
    assert sent[0]["status"] == 503


def test_headers_and_outcomes_are_mapped() -> None:
    request = from_headers({"x-call-number": "7", "x-call-dest": "2", "x-call-redial": "1"}, "plain", 1.5)
    assert request is not None and (request.klass, request.wait_s, request.redialled) == ("plain", 1.5, True)
    assert from_headers({"x-call-dest": "2"}) is None
    with pytest.raises(RequestError, match="x-call-dest: is missing"):
        from_headers({"x-call-number": "7"}, "plain", 1.0)
    with pytest.raises(RequestError, match="x-call-via"):
        from_headers({"x-call-number": "7", "x-call-dest": "2", "x-call-via": "1_0"}, "plain", 1.0)
    assert (
        response_for_outcome(Refused(0.2)).retry_after_s == 1
        and response_for_outcome(Refused(1.2)).retry_after_s == 2
    )
    statuses = [response_for_outcome(Failed(why)).status for why in Failure]
    assert statuses == [504, 500, 500, 400]
    assert ("retry-after", "1") in response_for_closed_router().headers()
