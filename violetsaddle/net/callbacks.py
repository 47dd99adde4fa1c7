"""What real servers tell of attempts by `POST /callback`."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from violetsaddle import interface as api
from violetsaddle.decide.proof import Evidence

if TYPE_CHECKING:
    from violetsaddle.net.edge import Shared

STATES = {
    "started": Evidence.STARTED,
    "running": Evidence.STARTED,
    "done": Evidence.DONE,
    "failed": Evidence.FAILED,
    "returned": Evidence.RETURNED,
    "lost": Evidence.LOST,
}


def called(body: bytes) -> dict[str, Any]:
    """A real server's callback; raises `ValueError` where it is none."""
    try:
        call: Any = json.loads(body)
        job, name, state = call["id"], call["from"], call["state"]
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        raise ValueError("not a callback") from error
    if not (isinstance(call, dict) and all(isinstance(text, str) for text in (job, name, state))):
        raise ValueError("not a callback")
    return call


def take_call(shared: Shared, call: dict[str, Any]) -> None:
    """What a real server tells of an attempt; its reply is out already."""
    attempt, state = shared.requests.find_attempt(call["id"], call["from"]), call["state"]
    result, word = call.get("result"), STATES.get(call["state"])
    share = call.get("share") if state == "running" else 0.0
    if word is None or not isinstance(share, (int, float)) or not 0 <= share <= 1:
        shared.counters.add("bad_callbacks")
        return
    if word is Evidence.DONE and not isinstance(result, str):
        word = Evidence.FAILED  # it ran, but there is nothing of its own to pass on
    if attempt is None or not shared.requests.apply_evidence(
        attempt,
        word,
        shared.report(call.get("load")),
        result.encode("utf-8", "surrogatepass") if isinstance(result, str) else None,
    ):
        shared.counters.add("callbacks_unmatched")
    elif word is Evidence.STARTED:
        shared.requests.report_progress(
            attempt, api.PROGRESS if state == "running" else api.STARTED, float(share)
        )
