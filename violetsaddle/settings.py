"""Reads the settings object: the adapter gets it as text, the node nested in its configuration."""

from __future__ import annotations

import json
from typing import Any

from violetsaddle import interface as api

EFFECT = {"retryable": api.SAFE, "dedup": api.KEYED, "fragile": api.UNSAFE}
RENAMED = {
    "outstanding": "inflight",
    "backlog": "queue",
    "utilization": "util",
    "recent_ms": "latency_ms",
    "errors_per_s": "eps",
    "throughput": "qps",
}


def _number(table: dict[str, Any], key: str, default: float | None, path: str = "") -> float:
    value = table.get(key, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise api.SettingsError(f"setting {path + key!r} must be a number, not {value!r}")
    return value


def _whole(table: dict[str, Any], key: str, default: int | None, path: str = "") -> int:
    return int(_number(table, key, default, path))


def _table(table: dict[str, Any], key: str) -> dict[str, Any]:
    value = table.get(key) or {}
    if not isinstance(value, dict):
        raise api.SettingsError(f"setting {key!r} must be a table")
    return value


def _list(table: dict[str, Any], key: str) -> list[Any]:
    value = table.get(key) or []
    if not isinstance(value, list):
        raise api.SettingsError(f"setting {key!r} must be a list")
    return value


def _place(values: list[Any], index: int, default: float) -> float:
    return values[index] if index < len(values) else default


def _class(spec: Any, index: int, info: dict[str, Any]) -> api.RequestClass:
    path = f"requestClasses[{index}]."
    if not isinstance(spec, dict):
        raise api.SettingsError(f"setting {path!r} must be a table")
    effect = spec.get("idempotency", "fragile")
    if effect not in EFFECT:
        raise api.SettingsError(f"setting {path}idempotency is unknown: {effect!r}")
    stretch = _place(_list(info, "classStretch"), index, _number(spec, "aimStretch", 0.0, path))
    return api.RequestClass(
        aim=_whole(spec, "target", None, path),
        deadline=_whole(spec, "deadline", None, path),
        effect=EFFECT[effect],
        group=spec.get("group") or "all",
        window=_whole(spec, "dedupWindow", 0, path),
        stretch=stretch,
        stream=bool(spec.get("stream")),
        worker_kind=int(_place(_list(info, "classKind"), index, -1)),
    )


def settings(text: str) -> tuple[dict[str, str], api.Settings]:
    """The names of report values and the settings of a NEW_INSTANCE; unknown keys are passed over."""
    try:
        env = json.loads(text)
    except ValueError as error:
        raise api.SettingsError(f"settings are not JSON: {error}") from None
    return read(env)


def read(env: Any) -> tuple[dict[str, str], api.Settings]:
    """The same from JSON that has been read already, as a node's configuration nests it."""
    if not isinstance(env, dict):
        raise api.SettingsError("settings must be a JSON object")
    allow, safety, report = _table(env, "permissions"), _table(env, "safety"), _table(env, "report")
    info, tariffs = _table(env, "familyInfo"), _table(env, "tariffs")
    via = report.get("via", "silent")
    names = _list(report, "names") if via != "silent" else []
    fields = {str(n): RENAMED.get(n) or str(info.get("reportX" + n[1:], n)).replace(" ", "_") for n in names}
    return fields, api.Settings(
        classes=tuple(_class(c, i, info) for i, c in enumerate(_list(env, "requestClasses"))),
        tenants=tuple(
            api.Tenant(_number(t, "share", 1.0, "tenants."), _number(t, "allowancePerS", 0.0, "tenants."))
            for t in _list(env, "tenants")
        )
        or (api.Tenant(),),
        zones=max(1, len(_list(env, "failureDomains"))),
        zone=_whole(env, "zone", 0),
        kinds=max(1, len(_list(env, "kinds"))),
        me=_whole(env, "ordinal", 0),
        schedulers=_whole(env, "siblings", 1),
        tick=_whole(env, "period", 1000),
        must_ask=env.get("discovery") == "ask",
        live_weights=env.get("weights") == "live",
        report=frozenset(fields.values()),
        report_by_probe=via == "pull",
        tells_start=bool(info.get("tellsStart")),
        progress_every=_whole(info, "progress", 0),
        may_probe=bool(allow.get("mayProbe")),
        may_tell=bool(allow.get("mayTell")),
        may_cancel=bool(allow.get("cancel")),
        second_copies=bool(allow.get("secondCopies")),
        may_advise=bool(allow.get("retryAfter")),
        most_advice=_whole(allow, "maxRetryAfter", 1_000_000),
        most_attempts=_whole(allow, "mostTries", 3),
        keepalive=_whole(allow, "keepalive", 10_000_000),
        connect_timeout=_whole(allow, "dialTimeout", 250_000),
        drain_grace=_whole(safety, "drainGrace", 1_000_000),
        cold_from=_number(safety, "coldFrom", 1.0),
        cold_for=_whole(safety, "cold", 0),
        fall_multiple=_number(safety, "fallMultiple", 3.0),
        fall_after=_whole(safety, "tipAfter", 2_000_000),
        ask_within=_whole(safety, "askEvery", 10_000_000),
        cross_zone_price=_number(tariffs, "crossZone", 0.0),
        fetch_price=_number(tariffs, "origin", 0.0),
    )


def names(env: dict[str, Any], key: str) -> list[str]:
    """The names of a list of the settings, by position; its items are names or tables that hold one."""
    found = [item.get("name") if isinstance(item, dict) else item for item in _list(env, key)]
    if not all(isinstance(name, str) for name in found):
        raise api.SettingsError(f"setting {key!r} must hold names")
    return [str(name) for name in found]
