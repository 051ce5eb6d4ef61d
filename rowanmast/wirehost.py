"""Runs call agents under the simulator: translates its JSON lines to events and actions to JSON lines.

Each input line is a batch of events, and each output line has the decisions on one batch. Only this module
knows the simulator's events and decisions; `settings` decodes the settings and load reports in them. Each
instance has an agent of its own; instances share nothing but the numbered lists of exchanges, which the
protocol defines once for all of them.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from typing import Any, TextIO

from rowanmast import interface as api
from rowanmast.call_agent import CallAgent
from rowanmast.settings import get_integer, index_by_name, optional_number, read_report, read_settings

Fields = dict[str, Any]

LIST_KINDS = {
    "INCREMENTAL": api.ListKind.CHANGES,
    "FULL": api.ListKind.FULL,
    "SAVED": api.ListKind.SAVED,
    "FAILED": api.ListKind.FAILED,
}
STATES = {
    "up": api.ExchangeState.UP,
    "draining": api.ExchangeState.DRAINING,
    "removed": api.ExchangeState.GONE,
}
OUTCOMES = {
    "completed": api.Outcome.DONE,
    "errored": api.Outcome.BUSY,
    "saturated": api.Outcome.FULL,
    "overdue": api.Outcome.TIMED_OUT,
    "refused_conn": api.Outcome.UNREACHED,
    "severed": api.Outcome.CUT,
    "recalled": api.Outcome.CALLED_OFF,
    "superseded": api.Outcome.NOT_SENT,
}
CAUSES = {
    1: api.Cause.NO_CIRCUIT,
    2: api.Cause.CRANKBACK,
    3: api.Cause.PROCESSOR_FULL,
    4: api.Cause.LINES_BUSY,
    18: api.Cause.DESTINATION_FULL,
}
# Bits of the field `marks` of a `demand` event.
MARK_REDIALLED, MARK_TRANSIT, MARK_AGAIN = 2, 8, 16

# Types of fields, as error messages name them.
INT, TEXT, BOOL, LIST, MAP = "an integer", "text", "a boolean", "an array", "an object"
REQUIRED_FIELDS: dict[str, dict[str, str]] = {
    "open_instance": {"who": INT, "entropy": INT, "info": MAP},
    "detach": {"who": INT},
    "define_list": {"ref": INT, "lines": LIST},
    "sync": {"who": INT, "how": TEXT},
    "demand": {"who": INT, "op_id": TEXT, "profile": TEXT, "remaining_ns": INT},
    "accepted": {"who": INT, "op_id": TEXT, "send_no": INT, "exchange": TEXT, "delay_seen_ns": INT},
    "settled": {
        "who": INT,
        "op_id": TEXT,
        "exchange": TEXT,
        "send_no": INT,
        "terminal": BOOL,
        "delay_seen_ns": INT,
        "rc": TEXT,
    },
    "hangup": {"who": INT, "op_id": TEXT},
    "reminder": {"who": INT, "cookie": TEXT},
    "health_result": {"who": INT, "exchange": TEXT, "rc": TEXT, "delay_seen_ns": INT},
    "message": {"who": INT, "by": INT},
}
OPTIONAL_FIELDS: dict[str, dict[str, str]] = {
    "sync": {"ref": INT},
    "demand": {"dest": INT, "circuits": INT, "advised_route": INT, "marks": INT, "key": TEXT},
    "settled": {"metrics": MAP, "cause": INT},
    "health_result": {"metrics": MAP},
}
ENTRY_FIELDS = {"exchange": TEXT, "place_no": INT, "condition": TEXT}


class InputError(Exception):
    """The input violates the protocol; the message says where."""


def has_type(value: Any, type_name: str) -> bool:
    """Whether the value is of this type; a float without a fraction counts as an integer."""
    if type_name == INT:
        return (isinstance(value, int) and not isinstance(value, bool)) or (
            isinstance(value, float) and value.is_integer()
        )
    return isinstance(value, {TEXT: str, BOOL: bool, LIST: list, MAP: dict}[type_name])


def validate(name: str, fields: Any) -> Fields:
    """Returns the event's fields. Raises InputError if a required one is absent or one is of a wrong type."""
    if not isinstance(fields, dict):
        raise InputError(f"event {name}: its fields are not an object")
    for field, type_name in REQUIRED_FIELDS[name].items():
        if field not in fields or fields[field] is None:
            raise InputError(f"event {name}: field {field} is missing")
        if not has_type(fields[field], type_name):
            raise InputError(f"event {name}: field {field} is not {type_name}")
    for field, type_name in OPTIONAL_FIELDS.get(name, {}).items():
        if fields.get(field) is not None and not has_type(fields[field], type_name):
            raise InputError(f"event {name}: field {field} is not {type_name}")
    return fields


def read_entry(line: Any) -> api.ListEntry:
    """Decodes one entry of a list of exchanges. Raises InputError."""
    if not isinstance(line, dict):
        raise InputError("event define_list: an entry is not an object")
    for field, type_name in ENTRY_FIELDS.items():
        if not has_type(line.get(field), type_name):
            raise InputError(f"event define_list: field {field} of an entry is missing or not {type_name}")
    if line["condition"] not in STATES:
        raise InputError("event define_list: field condition of an entry is not a known state")
    zone = line.get("failure_domain")
    return api.ListEntry(
        exchange=line["exchange"],
        number=int(line["place_no"]),
        zone=zone if isinstance(zone, str) else None,
        state=STATES[line["condition"]],
        started_ns=get_integer(line, "launched_ns") or None,
    )


def write_action(who: int, action: api.Action) -> Fields:
    """Encodes an action of instance `who` as a decision."""
    name: str
    fields: Fields
    match action:
        case api.SetUp():
            name = "relay"
            fields = {"op_id": action.call, "timeout_ns": action.timeout_ns, "exchange": action.exchange}
        case api.RefuseCall():
            name, fields = "reject", {"op_id": action.call, "come_back_ns": action.retry_after_ns}
        case api.FailCall():
            name, fields = "drop_request", {"op_id": action.call}
        case api.CancelAttempt():
            name, fields = "revoke", {"op_id": action.call, "send_no": action.attempt}
        case api.SetTimer():
            name, fields = "set_timer", {"in_ns": action.in_ns, "cookie": action.token}
        case api.Probe():
            name, fields = "sample", {"exchange": action.exchange}
        case api.Subscribe():
            name, fields = "watch", {"on": True}
        case api.RequestList():
            name, fields = "resolve", {}
        case api.LogMessage():
            name, fields = "emit", {"message": action.text}
    return {name: {"who": who, **fields}}


class Instance:
    """One agent of the simulation, with the indices of its classes and tenants by name."""

    def __init__(self, info: Fields, seed: int) -> None:
        self.agent = CallAgent(read_settings(info), seed)
        self.classes = index_by_name(info.get("services"))
        self.tenants = index_by_name(info.get("accounts"))

    def read_call(self, fields: Fields) -> api.Call:
        """Decodes a call. An unknown class becomes -1, so the agent refuses the call."""
        marks = int(fields.get("marks") or 0)
        width, advised = optional_number(fields.get("circuits")), optional_number(fields.get("advised_route"))
        dest = optional_number(fields.get("dest"))
        return api.Call(
            call=fields["op_id"],
            klass=self.classes.get(fields["profile"], -1),
            key=fields.get("key") or "",
            tenant=self.tenants.get(str(fields.get("team"))),
            remaining_ns=int(fields["remaining_ns"]),
            dest=-1 if dest is None else int(dest),
            width=None if width is None else int(width),
            advised=None if advised is None else int(advised),
            redialled=bool(marks & MARK_REDIALLED),
            transit=bool(marks & MARK_TRANSIT),
            again=bool(marks & MARK_AGAIN),
        )


def read_ended(fields: Fields) -> api.AttemptEnded:
    """Decodes an ended attempt.

    A cause whose low four bits are 3 has a retry-after time in milliseconds in the bits above; any other
    cause is looked up as a whole.
    """
    cause = int(fields.get("cause") or 0)
    if fields["rc"] not in OUTCOMES:
        raise InputError("event settled: field rc is not a known outcome")
    wait_ms = cause >> 4 if cause & 15 == 3 else 0
    return api.AttemptEnded(
        call=fields["op_id"],
        attempt=int(fields["send_no"]),
        exchange=fields["exchange"],
        outcome=OUTCOMES[fields["rc"]],
        cause=CAUSES.get(3 if wait_ms else cause),
        retry_after_ns=wait_ms * 1_000_000 or None,
        final=fields["terminal"],
        delay_ns=int(fields["delay_seen_ns"]),
        report=read_report(fields.get("metrics")),
    )


def read_answered(fields: Fields) -> api.CallAnswered:
    """Decodes an answered attempt."""
    return api.CallAnswered(
        fields["op_id"], int(fields["send_no"]), fields["exchange"], int(fields["delay_seen_ns"])
    )


def read_load_reported(fields: Fields) -> api.LoadReported:
    """Decodes the result of a probe."""
    report = read_report(fields.get("metrics"))
    return api.LoadReported(
        fields["exchange"], fields["rc"] == "completed", int(fields["delay_seen_ns"]), report
    )


EVENT_DECODERS: dict[str, Callable[[Fields], api.Event]] = {
    "accepted": read_answered,
    "settled": read_ended,
    "hangup": lambda fields: api.CallerHungUp(fields["op_id"]),
    "reminder": lambda fields: api.TimerExpired(fields["cookie"]),
    "health_result": read_load_reported,
}


class Host:
    """Handles batches of events. Owns the instances and the numbered lists."""

    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}
        self.lists: dict[int, tuple[api.ListEntry, ...]] = {}

    def handle_batch(self, line: str) -> str:
        """Handles one input line and returns the reply line. Raises InputError."""
        try:
            batch = json.loads(line)
        except ValueError:
            raise InputError("not JSON") from None
        if not isinstance(batch, dict) or not has_type(batch.get("t_ns"), INT):
            raise InputError("not a batch: t_ns is missing or not an integer")
        if not isinstance(batch.get("events"), list):
            raise InputError("not a batch: events is missing or not an array")
        decisions: list[Fields] = []
        for event in batch["events"]:
            if not isinstance(event, dict) or len(event) != 1:
                raise InputError("an event is not an object with one name")
            ((name, fields),) = event.items()
            if name in REQUIRED_FIELDS:
                self.handle_event(int(batch["t_ns"]), name, validate(name, fields), decisions)
        return json.dumps({"decisions": decisions}, separators=(",", ":"))

    def handle_event(self, now_ns: int, name: str, fields: Fields, decisions: list[Fields]) -> None:
        """Handles one event and appends the decisions; `give_in` reports an exception in an agent."""
        if name == "define_list":
            self.lists[fields["ref"]] = tuple(read_entry(line) for line in fields["lines"])
            return
        who = int(fields["who"])
        if name == "detach":
            self.instances.pop(who, None)
            return
        event = None if name == "open_instance" else self.decode_event(name, who, fields)
        try:
            if name == "open_instance":
                self.instances[who] = Instance(fields["info"], int(fields["entropy"]))
            elif event is not None:
                actions = self.instances[who].agent.handle(now_ns, event)
                decisions.extend(write_action(who, action) for action in actions)
        except Exception as error:
            decisions.append({"give_in": {"who": who, "message": f"{type(error).__name__}: {error}"}})

    def decode_event(self, name: str, who: int, fields: Fields) -> api.Event | None:
        """Decodes an event for an agent; None if there is no such instance or no agent handles the event."""
        instance = self.instances.get(who)
        if instance is None:
            return None
        if name == "demand":
            return instance.read_call(fields)
        if name == "sync":
            return self.read_list(fields)
        return EVENT_DECODERS[name](fields) if name in EVENT_DECODERS else None

    def read_list(self, fields: Fields) -> api.ExchangeList:
        """Decodes a list event, which refers to a numbered list. Raises InputError."""
        if fields["how"] not in LIST_KINDS:
            raise InputError("event sync: field how is not a known kind")
        kind = LIST_KINDS[fields["how"]]
        if kind is api.ListKind.FAILED:
            return api.ExchangeList(kind, ())
        if fields.get("ref") not in self.lists:
            raise InputError("event sync: field ref refers to no defined list")
        return api.ExchangeList(kind, self.lists[fields["ref"]])


def serve(source: TextIO, sink: TextIO, errors: TextIO) -> int:
    """Answers each input line. Returns 0 at the end of input, 1 after a line that violates the protocol."""
    host = Host()
    for number, line in enumerate(source, 1):
        try:
            reply = host.handle_batch(line)
        except InputError as error:
            print(f"line {number}: {error}", file=errors)
            return 1
        sink.write(reply + "\n")
        sink.flush()
    return 0


if __name__ == "__main__":
    sys.stdin.reconfigure(encoding="utf-8", errors="replace")  # type: ignore[union-attr]
    sys.exit(serve(sys.stdin, sys.stdout, sys.stderr))
