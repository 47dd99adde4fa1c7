"""The node's log as an operator file asks for it: plain lines, a console's, or JSON lines.

Imported only where such a file is named; structlog only for the forms that need it.  Nothing global is
configured, so a host program's own logging stays as it is."""

from __future__ import annotations

import math
import time
import traceback
from collections.abc import Callable, MutableMapping
from datetime import UTC, datetime
from typing import TYPE_CHECKING, Any, Protocol, TextIO, TypeAlias

from violetsaddle.interface import SettingsError

if TYPE_CHECKING:
    from violetsaddle.operator import Log as Told

LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}
MOST_EVENTS = 256  # told apart in one window; later ones share a count
OTHERS = "others"
SECOND = 1_000_000  # microseconds
LARGEST = 1 << 63  # whole numbers from here on have no place in JSON lines

Fields: TypeAlias = dict[str, Any]
Timer: TypeAlias = Callable[[int, Callable[[], object]], object]


class Form(Protocol):
    """Writes one line; may raise `OSError` or `ValueError` where its stream fails."""

    shows_events: bool

    def __call__(self, level: str, text: str, fields: Fields) -> None: ...


class Log:
    """Where `Counters` puts what it has to say.  No method raises: a log that has gone away is no reason to
    stop serving."""

    def __init__(
        self,
        form: Form,
        level: str = "info",
        limit: int = 0,
        window: int = 60 * SECOND,
        clock: Callable[[], int] = lambda: time.monotonic_ns() // 1000,
    ) -> None:
        """`limit`: lines of one event in a window, 0 for all.  `window` and the clock are microseconds."""
        self._form, self._least, self._limit, self._window, self._clock = (
            form,
            LEVELS[level],
            limit,
            window,
            clock,
        )
        self._seen: dict[tuple[str, str], int] = {}  # (level, event): lines in the window that runs
        self._until = 0  # its end
        self._armed = False
        self.timer: Timer | None = None  # runs something after so many microseconds

    def say(self, text: str) -> None:
        """A line of free text; what stands before its first `: ` is the event it repeats."""
        self._put("info", text.partition(": ")[0], text, {})

    def fault(self, text: str, error: BaseException | None) -> None:
        """An exception that was caught where none should be, with its traceback."""
        self._put("error", text, text, {"exception": "".join(traceback.format_exception(error)).rstrip()})

    def event(self, name: str, level: str = "info", /, **fields: object) -> None:
        """Something that happened to `flow`, `scheduling` or `server`; not shown in the plain form."""
        self._put(level, name, name, fields, event=True)

    def flush(self) -> None:
        """Ends the window that runs and sums up what was held back in it."""
        seen, self._seen, self._armed = self._seen, {}, False
        for (level, event), count in seen.items():
            if count > self._limit:
                held = count - self._limit
                seconds = self._window / SECOND
                self._write(
                    level,
                    f"left out {held} more of {event!r} within {seconds:g} s",
                    {"of": event, "times": held},
                )

    def _put(self, level: str, key: str, text: str, fields: Fields, event: bool = False) -> None:
        if LEVELS[level] < self._least or (event and not self._form.shows_events):
            return
        if self._limit and not self._passes(level, key):
            return
        self._write(level, text, fields)

    def _passes(self, level: str, event: str) -> bool:
        now = self._clock()
        if self._seen and now >= self._until:
            self.flush()
        if not self._seen:
            self._until = now + self._window
        key = (level, event)
        if key not in self._seen and len(self._seen) >= MOST_EVENTS:
            key = (level, OTHERS)
        count = self._seen[key] = self._seen.get(key, 0) + 1
        if count > self._limit and not self._armed and self.timer is not None:
            self._armed = True
            self.timer(self._until - now, self._ring)
        return count <= self._limit

    def _ring(self) -> None:
        # A window that a line has ended already may ring into the next one.
        if self._seen and self._clock() >= self._until:
            self.flush()

    def _write(self, level: str, text: str, fields: Fields) -> None:
        try:
            self._form(level, text, fields)
        except (OSError, ValueError):
            pass  # full, gone or closed


class Plain:
    """`NAME: text`, as a node without an operator file writes."""

    shows_events = False

    def __init__(self, name: str, stream: TextIO | None) -> None:
        self._name, self._stream = name, stream

    def __call__(self, level: str, text: str, fields: Fields) -> None:
        if self._stream is not None:
            error = fields.get("exception")
            print(f"{self._name}: {text}" + (f": {error}\n" if error else ""), file=self._stream, flush=True)


class Structured:
    """structlog's renderers, each line with time, level, node, event and the event's fields."""

    shows_events = True

    def __init__(self, name: str, stream: TextIO, form: str, wall: Callable[[], float]) -> None:
        import structlog

        self._wall, self._json = wall, form == "json"
        render: Any
        if self._json:
            render = structlog.processors.JSONRenderer(serializer=_encode)
        else:
            # Its own default would show tracebacks through rich, over many lines and with local values.
            render = structlog.dev.ConsoleRenderer(
                colors=_terminal(stream),
                sort_keys=False,
                repr_native_str=True,
                pad_event_to=0,
                exception_formatter=structlog.dev.plain_traceback,
            )
        bound: Any = structlog.make_filtering_bound_logger(0)
        self._logger = bound(structlog.PrintLogger(stream), [self._order, render], {"node": name})

    def _order(self, logger: object, method: str, fields: MutableMapping[str, Any]) -> Fields:
        """What every line has comes first."""
        at = datetime.fromtimestamp(self._wall(), UTC).isoformat(timespec="microseconds")
        first = {"timestamp": at.replace("+00:00", "Z"), "level": method, "event": fields.pop("event")}
        return {**first, **fields}

    def __call__(self, level: str, text: str, fields: Fields) -> None:
        if not self._json:
            text = "".join(c if c.isprintable() else ascii(c)[1:-1] for c in text)  # a line stays one line
        shown = {key: _value(value) for key, value in fields.items()}
        self._logger.log(LEVELS[level], str(_value(text)), **shown)


def _terminal(stream: TextIO) -> bool:
    try:
        return stream.isatty()
    except (AttributeError, ValueError):
        return False


def _value(value: object) -> object:
    """What every form can write: JSON has no lone surrogates, no NaN and no end to whole numbers."""
    if isinstance(value, str):
        return value.encode("utf-8", "backslashreplace").decode()
    if value is None or isinstance(value, bool) or (isinstance(value, int) and -LARGEST <= value < LARGEST):
        return value
    if isinstance(value, float) and math.isfinite(value):
        return value
    return _value(repr(value))


def _encode(line: Fields, **_: object) -> str:
    import msgspec

    return msgspec.json.encode(line).decode()


def make(
    told: Told,
    name: str,
    stream: TextIO | None,
    clock: Callable[[], int] = lambda: time.monotonic_ns() // 1000,
    wall: Callable[[], float] = time.time,
) -> Log:
    """The log an operator file asks for.  `clock`: microseconds, for windows; `wall`: Unix time in seconds,
    for the lines.  Raises `SettingsError` where the form needs a package that is not installed."""
    form: Form
    if told.form == "plain" or stream is None:
        form = Plain(name, stream)
    else:
        try:
            form = Structured(name, stream, told.form, wall)
        except ImportError as error:
            raise SettingsError(
                f'log.form: expected "plain", for {told.form!r} needs the package '
                f"{error.name}, which is not installed"
            ) from None
    return Log(form, told.level, told.repeat_limit, told.repeat_window_s * SECOND, clock)
