"""ASGI middleware that admits or refuses HTTP requests to an application by the router's decision module.

The decision module sees the application as the only exchange, and a request as a call to it, which stands
when its response starts and is over when the response ends. When responses start late, the module throttles,
and refused requests get 503 with Retry-After.
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
    """Settings for one application whose responses should start within `aim_s` seconds."""
    call_class = api.CallClass(
        objective_ns=int(aim_s * NS_PER_S),
        deadline_ns=int(deadline_s * NS_PER_S),
        worth=1.0,
        late_worth=0.0,
        width=1,
        mean_hold_ns=None,
        idempotency=api.Idempotency.SAFE,  # max_attempts is 1, so no attempt is repeated
        key_scope="all",
        dedup_window_ns=0,
        skilled_pools=(),
    )
    return api.Settings(
        agents=1,
        agent_index=0,
        own_exchange=-1,
        meshed=False,
        deadline_margin_ns=1_000_000,
        classes=(call_class,),
        overall_weight=1.0,
        worst_window_weight=0.0,
        worst_class_weight=0.0,
        tenant_quotas=(),
        over_share_worth=0.0,
        must_subscribe=False,
        subscribe_within_ns=0,
        answer_grace_ns=0,
        drain_grace_ns=0,
        initial_capacity_fraction=1.0,
        cold_ns=0,
        collapse_multiple=1.0,
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
    """Admits HTTP requests to an ASGI application, or answers them 503 with Retry-After.

    Responses should start within `aim_s` seconds; the decision module throttles requests when responses start
    later than a quarter of that, or than 1.6 times the quickest one if that is more. `deadline_s` is the
    deadline of a request, in seconds, for the module; the application is not interrupted by it. `seed` seeds
    the random numbers, and `clock` returns monotonic nanoseconds. Scopes other than HTTP pass through.
    """

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
        self.serial = itertools.count()  # call identifiers
        self.agent = CallAgent(settings_for(aim_s, deadline_s), seed)
        entry = api.ListEntry(APP_EXCHANGE, 0, None, api.ExchangeState.UP, None)
        self.agent.handle(clock(), api.ExchangeList(api.ListKind.FULL, (entry,)))

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            await self.app(scope, receive, send)
            return
        call_id = str(next(self.serial))
        started_ns = self.clock()
        (action,) = self.agent.handle(started_ns, self.call(call_id))
        if not isinstance(action, api.SetUp):
            retry_after_ns = action.retry_after_ns if isinstance(action, api.RefuseCall) else 0
            await send_busy(send, max(math.ceil(retry_after_ns / NS_PER_S), 1))
            return
        outcome = api.Outcome.CUT  # until the response is complete
        stands = False

        async def observed_send(message: Message) -> None:
            nonlocal outcome, stands
            if message["type"] == "http.response.start":
                stands = True
                now_ns = self.clock()
                self.agent.handle(now_ns, api.CallAnswered(call_id, 0, APP_EXCHANGE, now_ns - started_ns))
            elif message["type"] == "http.response.body" and not message.get("more_body", False):
                outcome = api.Outcome.DONE
            await send(message)

        try:
            await self.app(scope, receive, observed_send)
        finally:
            now_ns = self.clock()
            if not stands:
                self.agent.handle(now_ns, api.CallerHungUp(call_id))
            self.agent.handle(
                now_ns,
                api.AttemptEnded(
                    call_id, 0, APP_EXCHANGE, outcome, None, None, True, now_ns - started_ns, api.LoadReport()
                ),
            )

    def call(self, name: str) -> api.Call:
        # The decision module's call for one request; `name` is its identifier.
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


async def send_busy(send: Send, retry_after_s: int) -> None:
    headers = [
        (b"retry-after", str(retry_after_s).encode()),
        (b"content-type", b"text/plain; charset=utf-8"),
    ]
    await send({"type": "http.response.start", "status": 503, "headers": headers})
    await send({"type": "http.response.body", "body": b"busy, come back later\n"})
