"""Parses real servers' `POST /callback` bodies and applies what they report about attempts."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from violetsaddle import interface as api
from violetsaddle.decide.proof import Evidence

if TYPE_CHECKING:
    from violetsaddle.net.edge_shared import Shared

STATES = {
    "started": Evidence.STARTED,
    "running": Evidence.STARTED,
    "done": Evidence.DONE,
    "failed": Evidence.FAILED,
    "returned": Evidence.RETURNED,
    "lost": Evidence.LOST,
}


def parse_callback(body: bytes) -> dict[str, Any]:
    """Returns the callback's JSON object, whose `id`, `from` and `state` are strings.

    Other fields are not checked.  Raises `ValueError` if `body` is not a callback."""
    try:
        callback: Any = json.loads(body)
        job, name, state = callback["id"], callback["from"], callback["state"]
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        raise ValueError("not a callback") from error
    if not (isinstance(callback, dict) and all(isinstance(text, str) for text in (job, name, state))):
        raise ValueError("not a callback")
    return callback


def apply_callback(shared: Shared, callback: dict[str, Any]) -> None:
    """Applies a parsed callback to its attempt.

    Its reply has already been sent.  So a bad field or an unknown attempt is only counted."""
    attempt, state = shared.requests.find_attempt(callback["id"], callback["from"]), callback["state"]
    result, evidence = callback.get("result"), STATES.get(callback["state"])
    share = callback.get("share") if state == "running" else 0.0
    if evidence is None or not isinstance(share, (int, float)) or not 0 <= share <= 1:
        shared.counters.add("bad_callbacks")
        return
    if evidence is Evidence.DONE and not isinstance(result, str):
        evidence = Evidence.FAILED  # the job ran, but there is no result to give to the client
    if attempt is None or not shared.requests.apply_evidence(
        attempt,
        evidence,
        shared.report(callback.get("load")),
        result.encode("utf-8", "surrogatepass") if isinstance(result, str) else None,
    ):
        shared.counters.add("callbacks_unmatched")
    elif evidence is Evidence.STARTED:
        shared.requests.report_progress(
            attempt, api.PROGRESS if state == "running" else api.STARTED, float(share)
        )
