"""ASGI middleware: the same decisions admit HTTP requests to an application, or turn them away.

To the decisions the application is a pool of second parties, the one there is; a request is a call to it,
which stands when its response starts and is over when that ends. When responses start late, the gate
throttles, and requests get 503 with Retry-After.
"""

from __future__ import annotations

import itertools
import math
import time
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

from rowanmast import interface as api
from rowanmast.control import CallAgent

Scope = MutableMapping[str, Any]
Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]

APP = "app"
SECOND = 1_000_000_000


def settings_for(aim_s: float, deadline_s: float) -> api.Settings:
    """Settings for one application whose responses should start within `aim_s`."""
    kind = api.CallClass(
        aim_ns=int(aim_s * SECOND),
        deadline_ns=int(deadline_s * SECOND),
        worth=1.0,
        late_worth=0.0,
        width=1,
        hold_ns=None,
        effect=api.Effect.SAFE,  # an attempt is never repeated here
        key_scope="all",
        window_ns=0,
        pools=(),
    )
    return api.Settings(
        agents=1,
        own_agent=0,
        own_exchange=-1,
        meshed=False,
        period_ns=1_000_000,
        classes=(kind,),
        whole_weight=1.0,
        window_weight=0.0,
        class_weight=0.0,
        tenant_quotas=(),
        over_share_worth=0.0,
        must_ask=False,
        ask_within_ns=0,
        answer_grace_ns=0,
        drain_grace_ns=0,
        cold_from=1.0,
        cold_ns=0,
        fall_multiple=1.0,
        fall_ns=0,
        release_ns=0,
        resend_ns=0,
        max_attempts=1,
        advice=False,
        probes=False,
        probe_price=0.0,
        call_off=False,
        stay_away=True,
        max_stay_away_ns=10 * SECOND,
    )


class AdmissionMiddleware:
    """Wraps an ASGI application; scopes other than HTTP pass through."""

    def __init__(
        self,
        app: App,
        aim_s: float = 1.0,
        deadline_s: float = 30.0,
        seed: int = 0,
        clock: Callable[[], int] = time.monotonic_ns,
    ) -> None:
        self.app = app
        self.clock = clock
        self.deadline_ns = int(deadline_s * SECOND)
        self.serial = itertools.count()
        self.agent = CallAgent(settings_for(aim_s, deadline_s), seed)
        only = api.ListEntry(APP, 0, None, api.State.UP, None)
        self.agent.handle(clock(), api.ExchangeList(api.ListKind.FULL, (only,)))

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            await self.app(scope, receive, send)
            return
        name = str(next(self.serial))
        begun = self.clock()
        (action,) = self.agent.handle(begun, self.call(name))
        if not isinstance(action, api.SetUp):
            wait = action.stay_away_ns if isinstance(action, api.TurnAway) else 0
            await turn_away(send, max(math.ceil(wait / SECOND), 1))
            return
        outcome = api.Outcome.CUT  # unless the response comes to its end
        stands = False

        async def watched(message: Message) -> None:
            nonlocal outcome, stands
            if message["type"] == "http.response.start":
                stands = True
                now = self.clock()
                self.agent.handle(now, api.Stands(name, 0, APP, now - begun))
            elif message["type"] == "http.response.body" and not message.get("more_body", False):
                outcome = api.Outcome.DONE
            await send(message)

        try:
            await self.app(scope, receive, watched)
        finally:
            now = self.clock()
            if not stands:
                self.agent.handle(now, api.HungUp(name))
            self.agent.handle(
                now, api.Ended(name, 0, APP, outcome, None, None, True, now - begun, api.Report())
            )

    def call(self, name: str) -> api.Call:
        return api.Call(
            call=name,
            klass=0,
            key="",
            tenant=None,
            remaining_ns=self.deadline_ns,
            dest=0,
            width=1,
            advised=None,
            redialled=False,
            transit=False,
            again=False,
        )


async def turn_away(send: Send, wait_s: int) -> None:
    headers = [
        (b"retry-after", str(wait_s).encode()),
        (b"content-type", b"text/plain; charset=utf-8"),
    ]
    await send({"type": "http.response.start", "status": 503, "headers": headers})
    await send({"type": "http.response.body", "body": b"busy, come back later\n"})
