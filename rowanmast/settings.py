"""Decodes the settings and the load reports that both the simulator and the platform hand over."""

from __future__ import annotations

import math
from typing import Any

from rowanmast import interface as api

Fields = dict[str, Any]
LOAD_KEY_ALIASES = {"x0": "spare", "x1": "total", "util": "utilization", "queue": "backlog"}


def optional_number(value: Any) -> float | None:
    """A figure of the wire; absent, null and negative all mean unknown."""
    if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
        return None
    return float(value)


def section(info: Fields, name: str) -> Fields:
    value = info.get(name)
    return value if isinstance(value, dict) else {}


def integer(fields: Fields, name: str) -> int:
    return int(optional_number(fields.get(name)) or 0)


def item_at(values: Any, index: int) -> Any:
    return values[index] if isinstance(values, list) and index < len(values) else None


def read_class(service: Fields, family: Fields, index: int) -> api.CallClass:
    hold = optional_number(item_at(family.get("class_hold_ns"), index))
    pools = item_at(family.get("skilled_pools"), index)
    effects = {effect.value: effect for effect in api.Idempotency}
    return api.CallClass(
        objective_ns=integer(service, "objective_ns"),
        deadline_ns=integer(service, "hard_limit_ns"),
        worth=optional_number(service.get("credit")) or 0.0,
        late_worth=optional_number(service.get("late_worth")) or 0.0,
        width=int(optional_number(item_at(family.get("widths"), index)) or 1),
        mean_hold_ns=None if hold is None else int(hold),
        idempotency=effects.get(str(service.get("idempotency")), api.Idempotency.UNSAFE),
        key_scope=str(service.get("key_scope")),
        dedup_window_ns=integer(service, "window_ns"),
        skilled_pools=tuple(int(pool) for pool in pools) if isinstance(pools, list) else (),
    )


def read_settings(info: Fields) -> api.Settings:
    family, limits = section(info, "family_info"), section(info, "limits")
    rules, goal = section(info, "guarantees"), section(info, "goal")
    services = info.get("services") if isinstance(info.get("services"), list) else []
    accounts = info.get("accounts") if isinstance(info.get("accounts"), list) else []
    own = family.get("self_no")
    return api.Settings(
        agents=integer(info, "balancers"),
        agent_index=integer(info, "my_number"),
        own_exchange=own if isinstance(own, int) else -1,
        meshed=family.get("network_form") != "groups",
        period_ns=integer(info, "period_ns"),
        classes=tuple(read_class(item, family, index) for index, item in enumerate(services or [])),
        overall_weight=optional_number(goal.get("whole")) or 0.0,
        worst_window_weight=optional_number(goal.get("worst_window")) or 0.0,
        worst_class_weight=optional_number(goal.get("worst_class")) or 0.0,
        tenant_quotas=tuple(optional_number(item.get("quota_per_s")) or 0.0 for item in accounts or []),
        over_share_worth=optional_number(info.get("over_share_worth")) or 0.0,
        must_subscribe=info.get("discovery") == "subscribe",
        subscribe_within_ns=integer(rules, "ask_within_ns"),
        answer_grace_ns=integer(rules, "grace_to_answer_ns"),
        drain_grace_ns=integer(rules, "drain_grace_ns"),
        cold_share=optional_number(rules.get("cold_from")) or 0.0,
        cold_ns=integer(rules, "cold_ns"),
        collapse_load=optional_number(rules.get("fall_multiple")) or 0.0,
        collapse_after_ns=integer(rules, "tip_after_ns"),
        release_guard_ns=integer(family, "guard_ns"),
        retransmit_ns=integer(family, "t1_ns"),
        max_attempts=integer(limits, "max_attempts"),
        route_advice=family.get("advice") is True,
        probes=limits.get("probes") is True,
        probe_cost=optional_number(section(info, "costs").get("probe")) or 0.0,
        cancel_allowed=limits.get("cancel") is True,
        retry_after_allowed=limits.get("retry_after") is True,
        max_retry_after_ns=integer(limits, "max_retry_after_ns"),
    )


def read_report(metrics: Fields | None) -> api.LoadReport:
    values = metrics or {}
    wait = optional_number(values.get("recent_ms"))
    return api.LoadReport(
        free_circuits=optional_number(values.get("spare")),
        group_size=optional_number(values.get("total")),
        in_progress=optional_number(values.get("outstanding")),
        queued=optional_number(values.get("backlog")),
        utilization=optional_number(values.get("utilization")),
        recent_delay_ns=None if wait is None else int(wait * 1e6),
        accept_rate=optional_number(values.get("allowed")),
        throttle_fraction=optional_number(values.get("cut_by")),
    )


def index_by_name(items: Any) -> dict[str, int]:
    """The place of each class or tenant by its name."""
    return {str(item.get("name")): at for at, item in enumerate(items)} if isinstance(items, list) else {}


def parse_load_report(load: str) -> api.LoadReport:
    """A report such as x0:12;x1:40;queue:3, with the platform's names or the settings'."""
    values: dict[str, float] = {}
    for item in load.split(";"):
        name, _, value = item.partition(":")
        try:
            figure = float(value)
        except ValueError:
            continue
        if math.isfinite(figure):
            values[LOAD_KEY_ALIASES.get(name, name)] = figure
    return read_report(values)
