"""Decodes the settings and the load reports that both the simulator and the platform hand over."""

from __future__ import annotations

import math
from typing import Any

from rowanmast import interface as api

Fields = dict[str, Any]
PLATFORM_NAMES = {"x0": "spare", "x1": "total", "util": "utilization", "queue": "backlog"}


def number(value: Any) -> float | None:
    """A figure of the wire; absent, null and negative all mean unknown."""
    if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
        return None
    return float(value)


def section(info: Fields, name: str) -> Fields:
    value = info.get(name)
    return value if isinstance(value, dict) else {}


def whole(fields: Fields, name: str) -> int:
    return int(number(fields.get(name)) or 0)


def entry_at(values: Any, index: int) -> Any:
    return values[index] if isinstance(values, list) and index < len(values) else None


def read_class(service: Fields, family: Fields, index: int) -> api.CallClass:
    hold = number(entry_at(family.get("class_hold_ns"), index))
    pools = entry_at(family.get("skilled_pools"), index)
    effects = {effect.value: effect for effect in api.Effect}
    return api.CallClass(
        aim_ns=whole(service, "objective_ns"),
        deadline_ns=whole(service, "hard_limit_ns"),
        worth=number(service.get("credit")) or 0.0,
        late_worth=number(service.get("late_worth")) or 0.0,
        width=int(number(entry_at(family.get("widths"), index)) or 1),
        hold_ns=None if hold is None else int(hold),
        effect=effects.get(str(service.get("idempotency")), api.Effect.UNSAFE),
        key_scope=str(service.get("key_scope")),
        window_ns=whole(service, "window_ns"),
        pools=tuple(int(pool) for pool in pools) if isinstance(pools, list) else (),
    )


def read_settings(info: Fields) -> api.Settings:
    family, limits = section(info, "family_info"), section(info, "limits")
    rules, goal = section(info, "guarantees"), section(info, "goal")
    services = info.get("services") if isinstance(info.get("services"), list) else []
    accounts = info.get("accounts") if isinstance(info.get("accounts"), list) else []
    own = family.get("self_no")
    return api.Settings(
        agents=whole(info, "balancers"),
        own_agent=whole(info, "my_number"),
        own_exchange=own if isinstance(own, int) else -1,
        meshed=family.get("network_form") != "groups",
        period_ns=whole(info, "period_ns"),
        classes=tuple(read_class(item, family, index) for index, item in enumerate(services or [])),
        whole_weight=number(goal.get("whole")) or 0.0,
        window_weight=number(goal.get("worst_window")) or 0.0,
        class_weight=number(goal.get("worst_class")) or 0.0,
        tenant_quotas=tuple(number(item.get("quota_per_s")) or 0.0 for item in accounts or []),
        over_share_worth=number(info.get("over_share_worth")) or 0.0,
        must_ask=info.get("discovery") == "subscribe",
        ask_within_ns=whole(rules, "ask_within_ns"),
        answer_grace_ns=whole(rules, "grace_to_answer_ns"),
        drain_grace_ns=whole(rules, "drain_grace_ns"),
        cold_from=number(rules.get("cold_from")) or 0.0,
        cold_ns=whole(rules, "cold_ns"),
        fall_multiple=number(rules.get("fall_multiple")) or 0.0,
        fall_ns=whole(rules, "tip_after_ns"),
        release_ns=whole(family, "guard_ns"),
        resend_ns=whole(family, "t1_ns"),
        max_attempts=whole(limits, "max_attempts"),
        advice=family.get("advice") is True,
        probes=limits.get("probes") is True,
        probe_price=number(section(info, "costs").get("probe")) or 0.0,
        call_off=limits.get("cancel") is True,
        stay_away=limits.get("retry_after") is True,
        max_stay_away_ns=whole(limits, "max_retry_after_ns"),
    )


def read_report(metrics: Fields | None) -> api.Report:
    values = metrics or {}
    wait = number(values.get("recent_ms"))
    return api.Report(
        free=number(values.get("spare")),
        size=number(values.get("total")),
        in_work=number(values.get("outstanding")),
        waiting=number(values.get("backlog")),
        busy=number(values.get("utilization")),
        wait_ns=None if wait is None else int(wait * 1e6),
        takes=number(values.get("allowed")),
        hold_back=number(values.get("cut_by")),
    )


def index_names(items: Any) -> dict[str, int]:
    """The place of each class or tenant by its name."""
    return {str(item.get("name")): at for at, item in enumerate(items)} if isinstance(items, list) else {}


def parse_load(load: str) -> api.Report:
    """A report such as x0:12;x1:40;queue:3, with the platform's names or the settings'."""
    values: dict[str, float] = {}
    for item in load.split(";"):
        name, _, value = item.partition(":")
        try:
            figure = float(value)
        except ValueError:
            continue
        if math.isfinite(figure):
            values[PLATFORM_NAMES.get(name, name)] = figure
    return read_report(values)
