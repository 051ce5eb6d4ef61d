"""A lookup service with an embedded router.

Run `uvicorn examples.host_app:app --port 7110` while `examples/toy_switch.py` is running.
"""

import contextlib
from collections.abc import AsyncIterator

from starlette.applications import Starlette
from starlette.middleware import Middleware
from starlette.requests import Request
from starlette.responses import PlainTextResponse
from starlette.routing import Route

from rowanmast.embed import EmbeddedRouter
from rowanmast.middleware import RoutingMiddleware

router = EmbeddedRouter.from_files("examples/config.json")


async def lookup(request: Request) -> PlainTextResponse:
    return PlainTextResponse(request.state.call.text)  # the switch's answer; the call ends with the response


@contextlib.asynccontextmanager
async def lifespan(app: Starlette) -> AsyncIterator[None]:
    async with router:
        yield


app = Starlette(
    routes=[Route("/lookup", lookup)],
    middleware=[Middleware(RoutingMiddleware, router=router, klass="item-lookup", wait_s=1.5)],
    lifespan=lifespan,
)
