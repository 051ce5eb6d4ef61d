"""Measures the processor time per call of the ledger and the decisions, without sockets, in simulated time.

Every call is offered, set up, answered after 20 ms and released after 1.5 s. The driver advances the clock in
turns of 1 ms, so the figure is processor time alone and does not depend on the machine's other load.
"""

from __future__ import annotations

import argparse
import itertools
import time
from collections import deque
from dataclasses import dataclass, field, replace

from rowanmast import interface as api
from rowanmast.call_agent import CallAgent
from rowanmast.core.ledger import Ledger
from rowanmast.core.ports import Answered, Attempt, CallEnded, Failure, Input, Offer, Route
from rowanmast.lab.demo import settings_document
from rowanmast.settings import read_settings

SECOND_US = 1_000_000
TURN_US = 1_000
ANSWER_DELAY_US = 20_000
HOLD_US = 1_500_000
START_US = 1_000 * SECOND_US
DEADLINE_US = 9 * SECOND_US


def settings() -> api.Settings:
    """One class of call with an objective of 1.5 s and a hard limit of 9 s, as at a typical site."""
    return replace(read_settings(settings_document()), agents=8)


@dataclass
class CountingFront:
    """A front that counts the answers."""

    survives_restart: bool = True
    stood: int = 0
    refused: int = 0
    failed: int = 0
    released: int = 0

    def answer(self, call: str, text: str) -> None:
        self.stood += 1

    def refuse(self, call: str, retry_after_us: int) -> None:
        self.refused += 1

    def fail(self, call: str, why: Failure) -> None:
        self.failed += 1

    def release(self, call: str, cause: int) -> None:
        self.released += 1


@dataclass
class AcceptingLink:
    """A link to a switch that accepts everything; `sent` is shared by all links and ordered by time."""

    sent: deque[Attempt]
    survives_restart: bool = True

    def set_up(self, attempt: Attempt) -> None:
        self.sent.append(attempt)

    def cancel(self, call: str) -> None:
        pass

    def release(self, call: str, cause: int) -> None:
        pass

    def probe(self) -> None:
        pass


@dataclass
class Measurement:
    """The result of one run; `cpu_s` is the processor time of `calls`."""

    switches: int
    rate: int
    calls: int
    cpu_s: float
    front: CountingFront = field(default_factory=CountingFront)

    @property
    def calls_per_s(self) -> float:
        return self.calls / self.cpu_s


def measure(switches: int, rate: int, warm_s: float = 10.0, span_s: float = 5.0) -> Measurement:
    """Measures the processor time of `span_s` at `rate` calls a second, after `warm_s` at the same rate."""
    sent: deque[Attempt] = deque()
    front = CountingFront()
    links = {f"s{number}": AcceptingLink(sent) for number in range(1, switches + 1)}
    entries = tuple(
        api.ListEntry(f"s{n}", n, None, api.ExchangeState.UP, None) for n in range(1, switches + 1)
    )
    ledger = Ledger(settings(), {"plain": 0}, CallAgent(settings(), 7), links, front)
    idle_report = api.LoadReport(free_circuits=1e6, group_size=1e6)
    initial_inputs: list[Input] = [api.ExchangeList(api.ListKind.FULL, entries)]
    initial_inputs += [api.LoadReported(exchange, True, 0, idle_report) for exchange in links]
    now = START_US
    ledger.run_turn(now, initial_inputs)
    standing: deque[tuple[int, Attempt]] = deque()
    call_serial = itertools.count()
    offered = 0
    marks: list[tuple[float, int]] = []
    for at_s in (warm_s, warm_s + span_s):
        end = START_US + int(at_s * SECOND_US)
        cpu_start = time.process_time()
        before = offered
        while now < end:
            now += TURN_US
            inputs: list[Input] = []
            while sent and now - sent[0].sent_at >= ANSWER_DELAY_US:
                attempt = sent.popleft()
                inputs.append(Answered(attempt.exchange, attempt.call, attempt.number, "text"))
                standing.append((now, attempt))
            while standing and now - standing[0][0] >= HOLD_US:
                _, attempt = standing.popleft()
                inputs.append(CallEnded(attempt.exchange, attempt.call, api.Outcome.DONE))
            while offered < (now - START_US) * rate / SECOND_US:
                offered += 1
                name = f"{next(call_serial):016x}"
                route = Route(1 + offered % switches, 1, None, False, False, False)
                inputs.append(Offer(front, name, "plain", "k" + name, "text", DEADLINE_US, route))
            ledger.run_turn(now, inputs)
        marks.append((time.process_time() - cpu_start, offered - before))
    cpu_s, calls = marks[-1]
    return Measurement(switches, rate, calls, cpu_s, front)


def main() -> None:
    """Measures and prints a table for every pair of fleet size and rate."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--switches", type=int, nargs="+", default=[8, 60, 500])
    parser.add_argument("--rate", type=int, nargs="+", default=[100, 1_000, 10_000])
    arguments = parser.parse_args()
    print("| switches | calls a second offered | calls a second of one core | µs a call | stood |")
    print("| ---: | ---: | ---: | ---: | ---: |")
    for switches in arguments.switches:
        for rate in arguments.rate:
            result = measure(switches, rate)
            stood_share = result.front.stood / max(result.front.stood + result.front.refused, 1)
            per_call_us = 1e6 * result.cpu_s / result.calls
            print(
                f"| {switches} | {rate} | {result.calls_per_s:.0f} | {per_call_us:.0f} | {stood_share:.3f} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
