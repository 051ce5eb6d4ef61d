"""Decodes settings and load reports from JSON, in the form that the simulator and the platform share.

A number that is absent, negative or of another type counts as unknown. Load reports also come as text.
"""

from __future__ import annotations

import math
from typing import Any

from rowanmast import interface as api

Fields = dict[str, Any]
# Short keys that the platform uses in load reports.
LOAD_KEY_ALIASES = {"x0": "spare", "x1": "total", "util": "utilization", "queue": "backlog"}


def optional_number(value: Any) -> float | None:
    """A non-negative number as a float; None (unknown) for anything else, such as null or text."""
    if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
        return None
    return float(value)


def get_section(info: Fields, name: str) -> Fields:
    """The object of that name; an empty one if it is absent or no object."""
    value = info.get(name)
    return value if isinstance(value, dict) else {}


def get_integer(fields: Fields, name: str) -> int:
    """The non-negative integer of that name; 0 if unknown."""
    return int(optional_number(fields.get(name)) or 0)


def item_at(values: Any, index: int) -> Any:
    """The item at `index`; None if `values` is no list or a shorter one."""
    return values[index] if isinstance(values, list) and index < len(values) else None


def read_class(service: Fields, family: Fields, index: int) -> api.CallClass:
    """Decodes the class at `index`. Its width is 1 and its idempotency unsafe if these are unknown."""
    hold = optional_number(item_at(family.get("class_hold_ns"), index))
    pools = item_at(family.get("skilled_pools"), index)
    idempotency_by_name = {item.value: item for item in api.Idempotency}
    return api.CallClass(
        objective_ns=get_integer(service, "objective_ns"),
        deadline_ns=get_integer(service, "hard_limit_ns"),
        worth=optional_number(service.get("credit")) or 0.0,
        late_worth=optional_number(service.get("late_worth")) or 0.0,
        width=int(optional_number(item_at(family.get("widths"), index)) or 1),
        mean_hold_ns=None if hold is None else int(hold),
        idempotency=idempotency_by_name.get(str(service.get("idempotency")), api.Idempotency.UNSAFE),
        key_scope=str(service.get("key_scope")),
        dedup_window_ns=get_integer(service, "window_ns"),
        skilled_pools=tuple(int(pool) for pool in pools) if isinstance(pools, list) else (),
    )


def read_settings(info: Fields) -> api.Settings:
    """Decodes the settings. Unknown numbers become 0; the call agent refuses calls on unusable settings."""
    family, limits = get_section(info, "family_info"), get_section(info, "limits")
    guarantees, goal = get_section(info, "guarantees"), get_section(info, "goal")
    services = info.get("services") if isinstance(info.get("services"), list) else []
    accounts = info.get("accounts") if isinstance(info.get("accounts"), list) else []
    own = family.get("self_no")
    return api.Settings(
        agents=get_integer(info, "balancers"),
        agent_index=get_integer(info, "my_number"),
        own_exchange=own if isinstance(own, int) else -1,
        meshed=family.get("network_form") != "groups",
        deadline_margin_ns=get_integer(info, "period_ns"),
        classes=tuple(read_class(item, family, index) for index, item in enumerate(services or [])),
        overall_weight=optional_number(goal.get("whole")) or 0.0,
        worst_window_weight=optional_number(goal.get("worst_window")) or 0.0,
        worst_class_weight=optional_number(goal.get("worst_class")) or 0.0,
        tenant_quotas=tuple(optional_number(item.get("quota_per_s")) or 0.0 for item in accounts or []),
        over_share_worth=optional_number(info.get("over_share_worth")) or 0.0,
        must_subscribe=info.get("discovery") == "subscribe",
        subscribe_within_ns=get_integer(guarantees, "ask_within_ns"),
        answer_grace_ns=get_integer(guarantees, "grace_to_answer_ns"),
        drain_grace_ns=get_integer(guarantees, "drain_grace_ns"),
        initial_capacity_fraction=optional_number(guarantees.get("cold_from")) or 0.0,
        cold_ns=get_integer(guarantees, "cold_ns"),
        collapse_multiple=optional_number(guarantees.get("fall_multiple")) or 0.0,
        collapse_after_ns=get_integer(guarantees, "tip_after_ns"),
        release_guard_ns=get_integer(family, "guard_ns"),
        retransmit_ns=get_integer(family, "t1_ns"),
        max_attempts=get_integer(limits, "max_attempts"),
        route_advice=family.get("advice") is True,
        probes=limits.get("probes") is True,
        probe_cost=optional_number(get_section(info, "costs").get("probe")) or 0.0,
        cancel_allowed=limits.get("cancel") is True,
        retry_after_allowed=limits.get("retry_after") is True,
        max_retry_after_ns=get_integer(limits, "max_retry_after_ns"),
    )


def read_report(metrics: Fields | None) -> api.LoadReport:
    """Decodes a load report; None gives one in which every value is unknown."""
    values = metrics or {}
    recent_delay_ms = optional_number(values.get("recent_ms"))
    return api.LoadReport(
        free_circuits=optional_number(values.get("spare")),
        group_size=optional_number(values.get("total")),
        in_progress=optional_number(values.get("outstanding")),
        queued=optional_number(values.get("backlog")),
        utilization=optional_number(values.get("utilization")),
        recent_delay_ns=None if recent_delay_ms is None else int(recent_delay_ms * 1e6),
        accept_rate=optional_number(values.get("allowed")),
        throttle_fraction=optional_number(values.get("cut_by")),
    )


def index_by_name(items: Any) -> dict[str, int]:
    """The index of each class or tenant by its name; empty if `items` is no list."""
    return (
        {str(item.get("name")): index for index, item in enumerate(items)} if isinstance(items, list) else {}
    )


def parse_load_report(load: str) -> api.LoadReport:
    """Parses a load report such as x0:12;x1:40;queue:3, with the short keys or those of `read_report`.

    Items without a finite number are skipped.
    """
    values: dict[str, float] = {}
    for item in load.split(";"):
        name, _, value = item.partition(":")
        try:
            number = float(value)
        except ValueError:
            continue
        if math.isfinite(number):
            values[LOAD_KEY_ALIASES.get(name, name)] = number
    return read_report(values)
