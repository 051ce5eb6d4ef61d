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
from rowanmast.call_agent import CallAgent

Scope = MutableMapping[str, Any]
Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]

APP_EXCHANGE = "app"
NS_PER_S = 1_000_000_000


def settings_for(aim_s: float, deadline_s: float) -> api.Settings:
    """Settings for one application whose responses should start within `aim_s`."""
    kind = api.CallClass(
        objective_ns=int(aim_s * NS_PER_S),
        deadline_ns=int(deadline_s * NS_PER_S),
        worth=1.0,
        late_worth=0.0,
        width=1,
        mean_hold_ns=None,
        idempotency=api.Idempotency.SAFE,  # an attempt is never repeated here
        key_scope="all",
        dedup_window_ns=0,
        skilled_pools=(),
    )
    return api.Settings(
        agents=1,
        agent_index=0,
        own_exchange=-1,
        meshed=False,
        period_ns=1_000_000,
        classes=(kind,),
        overall_weight=1.0,
        worst_window_weight=0.0,
        worst_class_weight=0.0,
        tenant_quotas=(),
        over_share_worth=0.0,
        must_subscribe=False,
        subscribe_within_ns=0,
        answer_grace_ns=0,
        drain_grace_ns=0,
        cold_share=1.0,
        cold_ns=0,
        collapse_load=1.0,
        collapse_after_ns=0,
        release_guard_ns=0,
        retransmit_ns=0,
        max_attempts=1,
        route_advice=False,
        probes=False,
        probe_cost=0.0,
        cancel_allowed=False,
        retry_after_allowed=True,
        max_retry_after_ns=10 * NS_PER_S,
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
        self.deadline_ns = int(deadline_s * NS_PER_S)
        self.call_ids = itertools.count()
        self.agent = CallAgent(settings_for(aim_s, deadline_s), seed)
        only = api.ListEntry(APP_EXCHANGE, 0, None, api.ExchangeState.UP, None)
        self.agent.handle(clock(), api.ExchangeList(api.ListKind.FULL, (only,)))

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            await self.app(scope, receive, send)
            return
        name = str(next(self.call_ids))
        begun = self.clock()
        (action,) = self.agent.handle(begun, self.make_call(name))
        if not isinstance(action, api.SetUp):
            wait = action.retry_after_ns if isinstance(action, api.RefuseCall) else 0
            await send_busy(send, max(math.ceil(wait / NS_PER_S), 1))
            return
        outcome = api.Outcome.CUT  # unless the response comes to its end
        stands = False

        async def watched(message: Message) -> None:
            nonlocal outcome, stands
            if message["type"] == "http.response.start":
                stands = True
                now = self.clock()
                self.agent.handle(now, api.CallAnswered(name, 0, APP_EXCHANGE, now - begun))
            elif message["type"] == "http.response.body" and not message.get("more_body", False):
                outcome = api.Outcome.DONE
            await send(message)

        try:
            await self.app(scope, receive, watched)
        finally:
            now = self.clock()
            if not stands:
                self.agent.handle(now, api.CallerHungUp(name))
            self.agent.handle(
                now,
                api.AttemptEnded(
                    name, 0, APP_EXCHANGE, outcome, None, None, True, now - begun, api.LoadReport()
                ),
            )

    def make_call(self, name: str) -> api.Call:
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


async def send_busy(send: Send, wait_s: int) -> None:
    headers = [
        (b"retry-after", str(wait_s).encode()),
        (b"content-type", b"text/plain; charset=utf-8"),
    ]
    await send({"type": "http.response.start", "status": 503, "headers": headers})
    await send({"type": "http.response.body", "body": b"busy, come back later\n"})
