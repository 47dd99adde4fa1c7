"""The operator file: TOML, one struct a section, all of it optional.

Imported only where such a file is named: a node without one needs no msgspec.  A new section is one struct
here, one field of `Operator`, and its keys in `deploy/operator.toml`; the tests hold the three together."""

from __future__ import annotations

import dataclasses
import tomllib
from collections.abc import Callable
from difflib import get_close_matches
from typing import Annotated, Any, Literal, TypeAlias

import msgspec
from msgspec import Meta, Struct

from violetsaddle.interface import SettingsError
from violetsaddle.net.limits import MS
from violetsaddle.net.limits import Limits as NodeLimits

MOST_BYTES = 1 << 20  # of an operator file
HOUR_MS = 3_600_000
MINUTE_MS = 60_000
MOST_REPLICAS = 9
KIB = 1024
MIB = 1024 * KIB

Ms: TypeAlias = Annotated[int, Meta(ge=1, le=MINUTE_MS)]
MsOrNone: TypeAlias = Annotated[int, Meta(ge=0, le=MINUTE_MS)]
LongMs: TypeAlias = Annotated[int, Meta(ge=1, le=HOUR_MS)]


class OperatorError(SettingsError):
    """The operator file can't be used; the text is one line with file, key and what was expected."""


class MismatchError(ValueError):
    """Two keys of a section don't fit; msgspec hands it on as the cause of its own error."""

    def __init__(self, key: str, expected: str) -> None:
        """`key`: of the section; `expected`: what the file's reader is told."""
        super().__init__(f"{key}: {expected}")
        self.key, self.expected = key, expected


class Log(Struct, frozen=True, forbid_unknown_fields=True):
    """`[log]`: how the node's log reads and what is left out of it."""

    form: Literal["plain", "console", "json"] = "plain"  # plain: `NAME: text`, without events
    level: Literal["debug", "info", "warning", "error"] = "info"  # the lowest that is written
    repeat_limit: Annotated[int, Meta(ge=0, le=1_000_000)] = 0  # lines of one event in a window; 0: all
    repeat_window_s: Annotated[int, Meta(ge=1, le=3600)] = 60


class Limits(Struct, frozen=True, forbid_unknown_fields=True):
    """`[limits]`: the fields of `violetsaddle.net.limits.Limits` that an operator may set, each with its unit
    in its name.  Left out are those divided from the descriptors and those other programs rely on."""

    edge_idle_ms: LongMs = NodeLimits.edge_idle // MS
    edge_first_ms: Ms = NodeLimits.edge_first // MS
    edge_read_ms: Ms = NodeLimits.edge_read // MS
    edge_settled_ms: Ms = NodeLimits.edge_settled // MS
    drain_ms: Ms = NodeLimits.drain // MS
    answer_margin_ms: Annotated[int, Meta(ge=0, le=1000)] = NodeLimits.answer_margin // MS
    head_bytes: Annotated[int, Meta(ge=KIB, le=MIB)] = NodeLimits.head
    fields: Annotated[int, Meta(ge=16, le=1000)] = NodeLimits.fields
    body_bytes: Annotated[int, Meta(ge=KIB, le=16 * MIB)] = NodeLimits.body
    remembered: Annotated[int, Meta(ge=1, le=1_000_000)] = NodeLimits.remembered
    backlog: Annotated[int, Meta(ge=1, le=65_535)] = NodeLimits.backlog
    server_idle_ms: Annotated[int, Meta(ge=0, le=HOUR_MS)] = 0  # 0: as the settings' keepalive tells
    dial_ms: MsOrNone = 0  # 0: as the settings' dialTimeout tells
    doubt_ms: MsOrNone = NodeLimits.doubt // MS
    probe_ms: Ms = NodeLimits.probe // MS
    give_up_ms: Ms = NodeLimits.give_up // MS
    answer_body_bytes: Annotated[int, Meta(ge=64 * KIB, le=64 * MIB)] = NodeLimits.answer_body
    list_body_bytes: Annotated[int, Meta(ge=64 * KIB, le=64 * MIB)] = NodeLimits.list_body
    watch_wait_ms: Annotated[int, Meta(ge=100, le=8000)] = NodeLimits.watch_wait // MS
    watch_grace_ms: Annotated[int, Meta(ge=50, le=5000)] = NodeLimits.watch_grace // MS
    watch_pause_ms: Annotated[int, Meta(ge=1, le=150)] = NodeLimits.watch_pause // MS
    ask_ms: Annotated[int, Meta(ge=100, le=5000)] = NodeLimits.ask // MS
    linger_ms: Ms = NodeLimits.linger // MS
    keep_asking_ms: Ms = NodeLimits.keep_asking // MS
    keep_idle_ms: Ms = NodeLimits.keep_idle // MS
    last_word_ms: Ms = NodeLimits.last_word // MS
    farewell_ms: Ms = NodeLimits.farewell // MS

    def __post_init__(self) -> None:
        """Raises `MismatchError`."""
        for low, high in (
            ("edge_settled_ms", "edge_first_ms"),
            ("linger_ms", "keep_asking_ms"),
            ("keep_asking_ms", "keep_idle_ms"),
            ("keep_idle_ms", "last_word_ms"),
        ):
            least, value = getattr(self, low), getattr(self, high)
            if value < least:
                raise MismatchError(high, f"expected at least {low} ({least}), not {value}")


class Restart(Struct, frozen=True, forbid_unknown_fields=True):
    """`[restart]`: what outlives a process and how the next one begins; all of it off by default."""

    snapshot: Annotated[str, Meta(max_length=4000)] = ""  # path; "": off
    snapshot_every_s: Annotated[float, Meta(ge=0.1, le=3600)] = 5.0
    snapshot_most_kb: Annotated[int, Meta(ge=16, le=65_536)] = 1024
    believe_s: Annotated[float, Meta(ge=0, le=3600)] = 60.0  # older than this is not believed at all
    warm_from_peers: bool = False
    upgrade: bool = False
    upgrade_wait_s: Annotated[float, Meta(ge=0.1, le=600)] = 10.0
    upgrade_drain_s: Annotated[float, Meta(ge=0, le=3600)] = 30.0
    pid_file: Annotated[str, Meta(max_length=4000)] = ""  # holds the process that serves; "": none

    @property
    def keeps(self) -> bool:
        """Whether the node needs a keeper."""
        return bool(self.snapshot) or self.warm_from_peers


class Recovery(Struct, frozen=True, forbid_unknown_fields=True):
    """`[recovery]`: what a node makes of a loss of power; off by default."""

    silence_s: Annotated[float, Meta(ge=0, le=3600)] = 0.0  # of discovery, after which refusals count; 0: off

    def __post_init__(self) -> None:
        """Raises `MismatchError`."""
        if 0 < self.silence_s < 5:
            raise MismatchError("silence_s", "expected 0 or at least 5, longer than a quiet watch lasts")


class Configuration(Struct, frozen=True, forbid_unknown_fields=True):
    """`[configuration]`: from where a node takes newer settings at work; off by default."""

    replicas: tuple[str, ...] = ()  # "host:port" of each; none: off
    snapshot: Annotated[str, Meta(max_length=4000)] = ""  # file that keeps the newest version; "": none
    watch_wait_ms: Annotated[int, Meta(ge=100, le=MINUTE_MS)] = 2500
    watch_grace_ms: Annotated[int, Meta(ge=50, le=5000)] = 500
    gossip_every_ms: Annotated[int, Meta(ge=100, le=MINUTE_MS)] = 2000
    gossip_peers: Annotated[int, Meta(ge=0, le=16)] = 4  # 0: peers are told nothing

    def __post_init__(self) -> None:
        """Raises `MismatchError`."""
        if len(self.replicas) > MOST_REPLICAS or len(set(self.replicas)) < len(self.replicas):
            raise MismatchError("replicas", f"expected at most {MOST_REPLICAS}, each once")
        for text in self.replicas:
            host, _, port = text.rpartition(":")
            if not host or not (host + port).isascii() or not port.isdigit() or not 0 < int(port) < 65536:
                raise MismatchError("replicas", f'expected "host:port", not {_short(text)}')

    @property
    def on(self) -> bool:
        """Whether any replica is named."""
        return bool(self.replicas)

    @property
    def addresses(self) -> list[tuple[str, int]]:
        """Hosts and ports of the replicas, in the order of the file."""
        pairs = [text.rpartition(":") for text in self.replicas]
        return [(host, int(port)) for host, _, port in pairs]


class Operator(Struct, frozen=True, forbid_unknown_fields=True):
    """A whole operator file, a field a section."""

    log: Log = Log()
    limits: Limits = Limits()
    restart: Restart = Restart()
    recovery: Recovery = Recovery()
    configuration: Configuration = Configuration()

    def limits_for(self, limits: NodeLimits) -> NodeLimits:
        """`limits` with what the file changes.  `server_idle` and `dial` only get shorter than the settings'
        figures, to which the real servers keep."""
        changed: dict[str, int] = {}
        for field in msgspec.structs.fields(Limits):
            value = getattr(self.limits, field.name)
            if value != field.default:
                name = field.name.removesuffix("_bytes").removesuffix("_ms")
                changed[name] = value * MS if field.name.endswith("_ms") else value
        for name in ("server_idle", "dial"):
            if name in changed:
                changed[name] = min(changed[name], getattr(limits, name))
        changed["silence"] = int(self.recovery.silence_s * 1000) * MS
        return dataclasses.replace(limits, **changed)


def load(path: str) -> Operator:
    """Reads and checks an operator file; raises `OperatorError`."""
    return parse(_text(path), path)


def parse(text: str, path: str) -> Operator:
    """The same from text that has been read; `path` is only named in errors."""
    table: Any = None
    try:
        table = tomllib.loads(text)
        return msgspec.convert(table, Operator)
    except msgspec.ValidationError as error:
        raise _wrong(path, _fault(Operator, table, "") or str(error)) from None
    except (ValueError, RecursionError) as error:  # tomllib follows nesting by calls of its own
        what = "nested too deeply" if isinstance(error, RecursionError) else error
        raise _wrong(path, f"expected TOML: {what}") from None


def _text(path: str) -> str:
    try:
        with open(path, "rb") as file:
            data = file.read(MOST_BYTES + 1)
    except (OSError, ValueError) as error:  # ValueError: a path with a NUL
        raise _wrong(path, f"expected a file that can be read: {getattr(error, 'strerror', error)}") from None
    if len(data) > MOST_BYTES:
        raise _wrong(path, f"expected at most {MOST_BYTES} bytes")
    try:
        return data.decode("utf-8")
    except UnicodeDecodeError as error:
        raise _wrong(path, f"expected UTF-8: byte {error.start} is none") from None


def _wrong(path: str, text: str) -> OperatorError:
    """One line, whatever the file or its name holds."""
    return OperatorError("".join(c if c.isprintable() else ascii(c)[1:-1] for c in f"{path}: {text}"))


def _fault(kind: Any, value: Any, path: str) -> str | None:
    """`key: expected ..., not VALUE` for the first key that is wrong.  Found from the table itself: a key may
    hold whatever msgspec's own text is made of."""
    if isinstance(kind, type) and issubclass(kind, Struct) and isinstance(value, dict):
        fields = {field.encode_name: field.type for field in msgspec.structs.fields(kind)}
        for key, item in value.items():
            at = f"{path}.{key}" if path else key
            if key not in fields:
                close = get_close_matches(key[:80], fields, n=1) or fields
                return f"{at[:120]}: unknown key, expected {' or '.join(close)}"
            found = _fault(fields[key], item, at)
            if found is not None:
                return found
    try:
        msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        if isinstance(error.__cause__, MismatchError):
            return f"{path}.{error.__cause__.key}: {error.__cause__.expected}"
        return f"{path}: expected {_describe(msgspec.inspect.type_info(kind))}, not {_short(value)}"
    return None


def _describe(kind: Any) -> str:
    """What a type of a field lets through, in words."""
    if isinstance(kind, msgspec.inspect.Metadata):
        return _describe(kind.type)
    if isinstance(kind, msgspec.inspect.LiteralType):
        return "one of " + ", ".join(map(_short, kind.values))
    if isinstance(kind, (msgspec.inspect.IntType, msgspec.inspect.FloatType)):
        what = "a whole number" if isinstance(kind, msgspec.inspect.IntType) else "a number"
        bounds = (("from", kind.ge), ("above", kind.gt), ("to", kind.le), ("below", kind.lt))
        return " ".join([what, *(f"{word} {bound}" for word, bound in bounds if bound is not None)])
    words: dict[type, str] = {
        msgspec.inspect.StrType: "a text",
        msgspec.inspect.BoolType: "true or false",
        msgspec.inspect.StructType: "a table",
        msgspec.inspect.ListType: "a list",
        msgspec.inspect.VarTupleType: "a list of texts",
    }
    return words.get(type(kind), "another type")


def _short(value: object) -> str:
    """A value as TOML would write it, near enough, and never long."""
    shown: dict[type, Callable[[Any], str]] = {
        bool: lambda v: str(v).lower(),
        str: lambda v: f'"{v[:60]}"',
        dict: lambda _: "a table",
        list: lambda _: "a list",
        int: lambda v: str(v) if abs(v) < 10**30 else "a number that large",
    }
    return shown.get(type(value), str)(value)[:80]
