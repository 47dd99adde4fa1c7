"""Converts the JSON settings object to `Settings`.

The simulator's adapter gets the object as text; a node finds it inside its configuration file.
"""

from __future__ import annotations

import json
from typing import Any

from violetsaddle import interface as api

EFFECT_BY_IDEMPOTENCY = {"retryable": api.SAFE, "dedup": api.KEYED, "fragile": api.UNSAFE}
# Names of report values: in the settings, and in `Settings.report`.
REPORT_VALUE_NAMES = {
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


def _integer(table: dict[str, Any], key: str, default: int | None, path: str = "") -> int:
    return int(_number(table, key, default, path))


def _object(table: dict[str, Any], key: str) -> dict[str, Any]:
    value = table.get(key) or {}
    if not isinstance(value, dict):
        raise api.SettingsError(f"setting {key!r} must be an object")
    return value


def _list(table: dict[str, Any], key: str) -> list[Any]:
    value = table.get(key) or []
    if not isinstance(value, list):
        raise api.SettingsError(f"setting {key!r} must be a list")
    return value


def _item_or_default(values: list[Any], index: int, default: float) -> float:
    return values[index] if index < len(values) else default


def _request_class(spec: Any, index: int, info: dict[str, Any]) -> api.RequestClass:
    path = f"requestClasses[{index}]."
    if not isinstance(spec, dict):
        raise api.SettingsError(f"setting {path!r} must be an object")
    effect = spec.get("idempotency", "fragile")
    if effect not in EFFECT_BY_IDEMPOTENCY:
        raise api.SettingsError(f"setting {path}idempotency is unknown: {effect!r}")
    stretch = _item_or_default(_list(info, "classStretch"), index, _number(spec, "aimStretch", 0.0, path))
    return api.RequestClass(
        aim=_integer(spec, "target", None, path),
        deadline=_integer(spec, "deadline", None, path),
        effect=EFFECT_BY_IDEMPOTENCY[effect],
        group=spec.get("group") or "all",
        window=_integer(spec, "dedupWindow", 0, path),
        stretch=stretch,
        stream=bool(spec.get("stream")),
        worker_kind=int(_item_or_default(_list(info, "classKind"), index, -1)),
    )


def parse(text: str) -> tuple[dict[str, str], api.Settings]:
    """Parses the JSON text of a settings object.

    Returns the names of the report values (name in a worker's report to name in `Settings.report`) and the
    settings.  Unknown keys are ignored.  Raises `SettingsError` if the text is not JSON or a setting is not
    valid.
    """
    try:
        raw = json.loads(text)
    except ValueError as error:
        raise api.SettingsError(f"settings are not JSON: {error}") from None
    return read(raw)


def read(raw: Any) -> tuple[dict[str, str], api.Settings]:
    """Like `parse`, from JSON that is decoded already."""
    if not isinstance(raw, dict):
        raise api.SettingsError("settings must be a JSON object")
    permissions = _object(raw, "permissions")
    safety = _object(raw, "safety")
    report = _object(raw, "report")
    info = _object(raw, "familyInfo")
    tariffs = _object(raw, "tariffs")
    via = report.get("via", "silent")
    reported = _list(report, "names") if via != "silent" else []
    report_names = {
        str(name): REPORT_VALUE_NAMES.get(name) or str(info.get("reportX" + name[1:], name)).replace(" ", "_")
        for name in reported
    }
    return report_names, api.Settings(
        classes=tuple(_request_class(c, i, info) for i, c in enumerate(_list(raw, "requestClasses"))),
        tenants=tuple(
            api.Tenant(_number(t, "share", 1.0, "tenants."), _number(t, "allowancePerS", 0.0, "tenants."))
            for t in _list(raw, "tenants")
        )
        or (api.Tenant(),),
        zones=max(1, len(_list(raw, "failureDomains"))),
        zone=_integer(raw, "zone", 0),
        kinds=max(1, len(_list(raw, "kinds"))),
        me=_integer(raw, "ordinal", 0),
        schedulers=_integer(raw, "siblings", 1),
        tick=_integer(raw, "period", 1000),
        must_ask=raw.get("discovery") == "ask",
        live_weights=raw.get("weights") == "live",
        report=frozenset(report_names.values()),
        report_by_probe=via == "pull",
        tells_start=bool(info.get("tellsStart")),
        progress_every=_integer(info, "progress", 0),
        may_probe=bool(permissions.get("mayProbe")),
        may_tell=bool(permissions.get("mayTell")),
        may_cancel=bool(permissions.get("cancel")),
        second_copies=bool(permissions.get("secondCopies")),
        may_advise=bool(permissions.get("retryAfter")),
        most_advice=_integer(permissions, "maxRetryAfter", 1_000_000),
        most_attempts=_integer(permissions, "mostTries", 3),
        keepalive=_integer(permissions, "keepalive", 10_000_000),
        connect_timeout=_integer(permissions, "dialTimeout", 250_000),
        drain_grace=_integer(safety, "drainGrace", 1_000_000),
        cold_from=_number(safety, "coldFrom", 1.0),
        cold_for=_integer(safety, "cold", 0),
        fall_multiple=_number(safety, "fallMultiple", 3.0),
        fall_after=_integer(safety, "tipAfter", 2_000_000),
        ask_within=_integer(safety, "askEvery", 10_000_000),
        cross_zone_price=_number(tariffs, "crossZone", 0.0),
        fetch_price=_number(tariffs, "origin", 0.0),
    )


def names(raw: dict[str, Any], key: str) -> list[str]:
    """The names in the list `key` of the settings, in its order.

    Each item is a name, or an object with the key `name`.  Raises `SettingsError` if an item has no name.
    """
    found = [item.get("name") if isinstance(item, dict) else item for item in _list(raw, key)]
    if not all(isinstance(name, str) for name in found):
        raise api.SettingsError(f"setting {key!r} must be a list of names")
    return [str(name) for name in found]
