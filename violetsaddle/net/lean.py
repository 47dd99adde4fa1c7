"""Imports Twisted without what it imports but a node never uses.

`twisted.internet.defer` takes three names from asyncio, and `twisted.python.compat` a module from http, which
bring email, ssl and urllib: a quarter of a start and 8 MB.  While Twisted is imported, stand-ins take their
places; afterwards these are gone again, so that whoever imports asyncio later gets the real one.  What
Twisted holds of a stand-in turns into the real thing when it is used, and a name that is not foreseen here is
taken from the real module at once: another Twisted costs time, not correctness."""

from __future__ import annotations

import sys
from collections.abc import Callable, Coroutine
from importlib import import_module
from types import CoroutineType, GeneratorType, ModuleType
from typing import Any


def iscoroutine(obj: object) -> bool:
    """What `asyncio.iscoroutine` says."""
    return isinstance(obj, (CoroutineType, GeneratorType, Coroutine))


def _late(module: str, name: str) -> Callable[..., Any]:
    def call(*args: Any, **named: Any) -> Any:
        return getattr(import_module(module), name)(*args, **named)

    return call


class _StandIn(ModuleType):
    """In a module's place until that is needed."""

    def __getattr__(self, name: str) -> Any:
        if name.startswith("__"):
            raise AttributeError(name)
        # From here on the real one: it may not be imported twice.
        if sys.modules.get(self.__name__) is self:
            del sys.modules[self.__name__]
        return getattr(import_module(self.__name__), name)


# Names that Twisted takes at its import, by module.  A class is only named in annotations there.
NAMES: dict[str, dict[str, Any]] = {
    "asyncio": {
        "AbstractEventLoop": _late("asyncio", "AbstractEventLoop"),
        "Future": _late("asyncio", "Future"),
        "iscoroutine": iscoroutine,
    },
    "http": {},
    "http.cookiejar": {},
    "html": {"escape": _late("html", "escape")},
}


# Twisted only asks whether it has WinError.
ABSENT = () if sys.platform == "win32" else ("ctypes",)


def load() -> None:
    """Imports the reactor's modules; does nothing where Twisted has been imported already."""
    if "twisted.internet.defer" in sys.modules:
        return
    put: dict[str, ModuleType | None] = {}
    for module, names in NAMES.items():
        # One that is there, or whose package is, stays.
        package, _, name = module.partition(".")
        if module not in sys.modules and (not name or package in put):
            stand_in = put[module] = sys.modules[module] = _StandIn(module)
            vars(stand_in).update(names)
            if name:
                setattr(sys.modules[package], name, stand_in)
    for module in ABSENT:
        if module not in sys.modules:
            put[module] = sys.modules[module] = None  # type: ignore[assignment]  # the import system's own way
    try:
        import_module("twisted.internet.epollreactor" if sys.platform == "linux" else "twisted.internet.base")
    finally:
        for module, held in put.items():
            if module in sys.modules and sys.modules[module] is held:
                del sys.modules[module]
