"""The ledger and the decisions without sockets: processor time a call, in virtual time.

Every call is offered, set up, answered after 20 ms and over after 1.5 s. The clock is a number that the
driver moves in turns of 1 ms, so the figure is processor time alone, whatever else the machine does.
"""

from __future__ import annotations

import argparse
import itertools
import time
from collections import deque
from dataclasses import dataclass, field

from rowanmast import interface as api
from rowanmast.control import CallAgent
from rowanmast.core.ledger import Ledger
from rowanmast.core.ports import Answered, Attempt, CallOver, Failure, Input, Offer, Route

SECOND_US = 1_000_000
TURN_US = 1_000
ANSWER_US = 20_000
HOLD_US = 1_500_000
START_US = 1_000 * SECOND_US
DEADLINE_US = 9 * SECOND_US


def settings() -> api.Settings:
    """One class of call, as a site of sorting centres has it: 1.5 s wanted, 9 s to give up."""
    kind = api.CallClass(
        aim_ns=1_500_000_000,
        deadline_ns=9_000_000_000,
        worth=1.0,
        late_worth=0.25,
        width=1,
        hold_ns=1_500_000_000,
        effect=api.Effect.SAFE,
        key_scope="all",
        window_ns=5_000_000_000,
        pools=(),
    )
    return api.Settings(
        agents=8,
        own_agent=0,
        own_exchange=0,
        meshed=True,
        period_ns=5_000_000,
        classes=(kind,),
        whole_weight=0.7,
        window_weight=0.3,
        class_weight=0.0,
        tenant_quotas=(),
        over_share_worth=0.1,
        must_ask=False,
        ask_within_ns=10_000_000_000,
        answer_grace_ns=20_000_000,
        drain_grace_ns=2_000_000_000,
        cold_from=0.34,
        cold_ns=14_000_000_000,
        fall_multiple=2.0,
        fall_ns=1_000_000_000,
        release_ns=200_000_000,
        resend_ns=500_000_000,
        max_attempts=6,
        advice=False,
        probes=True,
        probe_price=0.4,
        call_off=True,
        stay_away=True,
        max_stay_away_ns=2_000_000_000,
    )


@dataclass
class Front:
    """Counts the answers."""

    lasting: bool = True
    stood: int = 0
    refused: int = 0
    failed: int = 0
    released: int = 0

    def answer(self, call: str, text: str) -> None:
        self.stood += 1

    def refuse(self, call: str, stay_away_us: int) -> None:
        self.refused += 1

    def fail(self, call: str, why: Failure) -> None:
        self.failed += 1

    def release(self, call: str, cause: int) -> None:
        self.released += 1


@dataclass
class Link:
    """A switch that takes everything; `sent` is shared by all links, in order of time."""

    sent: deque[Attempt]
    lasting: bool = True

    def set_up(self, attempt: Attempt) -> None:
        self.sent.append(attempt)

    def call_off(self, call: str) -> None:
        pass

    def release(self, call: str, cause: int) -> None:
        pass

    def probe(self) -> None:
        pass


@dataclass
class Figures:
    switches: int
    rate: int
    calls: int
    cpu_s: float
    front: Front = field(default_factory=Front)

    @property
    def a_second(self) -> float:
        return self.calls / self.cpu_s


def measure(switches: int, rate: int, warm_s: float = 10.0, span_s: float = 5.0) -> Figures:
    """Processor time of the calls of `span_s`, after `warm_s` at the same rate; `rate` is calls a second."""
    sent: deque[Attempt] = deque()
    front = Front()
    links = {f"s{number}": Link(sent) for number in range(1, switches + 1)}
    entries = tuple(api.ListEntry(f"s{n}", n, None, api.State.UP, None) for n in range(1, switches + 1))
    ledger = Ledger(settings(), {"plain": 0}, CallAgent(settings(), 7), links, front)
    full = api.Report(free=1e6, size=1e6)
    told: list[Input] = [api.ExchangeList(api.ListKind.FULL, entries)]
    told += [api.Reported(exchange, True, 0, full) for exchange in links]
    now = START_US
    ledger.turn(now, told)
    standing: deque[tuple[int, Attempt]] = deque()
    serial = itertools.count()
    offered = 0
    marks: list[tuple[float, int]] = []
    for at_s in (warm_s, warm_s + span_s):
        end = START_US + int(at_s * SECOND_US)
        begun = time.process_time()
        before = offered
        while now < end:
            now += TURN_US
            inputs: list[Input] = []
            while sent and now - sent[0].sent >= ANSWER_US:
                attempt = sent.popleft()
                inputs.append(Answered(attempt.exchange, attempt.call, attempt.number, "text"))
                standing.append((now, attempt))
            while standing and now - standing[0][0] >= HOLD_US:
                _, attempt = standing.popleft()
                inputs.append(CallOver(attempt.exchange, attempt.call, api.Outcome.DONE))
            while offered < (now - START_US) * rate / SECOND_US:
                offered += 1
                name = f"{next(serial):016x}"
                route = Route(1 + offered % switches, 1, None, False, False, False)
                inputs.append(Offer(front, name, "plain", "k" + name, "text", DEADLINE_US, route))
            ledger.turn(now, inputs)
        marks.append((time.process_time() - begun, offered - before))
    cpu_s, calls = marks[-1]
    return Figures(switches, rate, calls, cpu_s, front)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--switches", type=int, nargs="+", default=[8, 60, 500])
    parser.add_argument("--rate", type=int, nargs="+", default=[100, 1_000, 10_000])
    arguments = parser.parse_args()
    print("| switches | calls a second offered | calls a second of one core | µs a call | stood |")
    print("| ---: | ---: | ---: | ---: | ---: |")
    for switches in arguments.switches:
        for rate in arguments.rate:
            found = measure(switches, rate)
            share = found.front.stood / max(found.front.stood + found.front.refused, 1)
            each = 1e6 * found.cpu_s / found.calls
            print(f"| {switches} | {rate} | {found.a_second:.0f} | {each:.0f} | {share:.3f} |", flush=True)


if __name__ == "__main__":
    main()
