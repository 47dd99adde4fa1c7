"""Imports Twisted without those of its dependencies that a node never uses.

`twisted.internet.defer` imports three names from asyncio, and `twisted.python.compat` a module from http.
These two import email, ssl and urllib: a quarter of the start time and 8 MB.  While Twisted is imported,
placeholder modules stand in `sys.modules` for them.  They are removed afterwards, so that a later import of
asyncio gets the real module.  What Twisted keeps of a placeholder loads the real module when it is used.  A
name that is not listed here is taken from the real module at once: with another version of Twisted the start
takes longer, but stays correct."""

from __future__ import annotations

import sys
from collections.abc import Callable, Coroutine
from importlib import import_module
from types import CoroutineType, GeneratorType, ModuleType
from typing import Any


def iscoroutine(obj: object) -> bool:
    """Returns the same as `asyncio.iscoroutine`, without asyncio."""
    return isinstance(obj, (CoroutineType, GeneratorType, Coroutine))


def _lazy_callable(module: str, name: str) -> Callable[..., Any]:
    """Returns a function that imports the module and calls its function `name` when it is called."""

    def call(*args: Any, **kwargs: Any) -> Any:
        return getattr(import_module(module), name)(*args, **kwargs)

    return call


class _LazyModule(ModuleType):
    """A placeholder in `sys.modules` that imports the real module when a name is missing."""

    def __getattr__(self, name: str) -> Any:
        if name.startswith("__"):
            raise AttributeError(name)
        # From now on `sys.modules` holds the real module, so that it is not imported twice.
        if sys.modules.get(self.__name__) is self:
            del sys.modules[self.__name__]
        return getattr(import_module(self.__name__), name)


# The names that Twisted imports, by module.  It uses the classes in annotations only, so a function can
# replace a class.
LAZY_NAMES: dict[str, dict[str, Any]] = {
    "asyncio": {
        "AbstractEventLoop": _lazy_callable("asyncio", "AbstractEventLoop"),
        "Future": _lazy_callable("asyncio", "Future"),
        "iscoroutine": iscoroutine,
    },
    "http": {},
    "http.cookiejar": {},
    "html": {"escape": _lazy_callable("html", "escape")},
}


# Twisted only checks whether ctypes has WinError, which exists on Windows alone.
BLOCKED_MODULES = () if sys.platform == "win32" else ("ctypes",)


def load() -> None:
    """Imports the reactor's modules; does nothing if Twisted has been imported already."""
    if "twisted.internet.defer" in sys.modules:
        return
    placeholders: dict[str, ModuleType | None] = {}
    for module, names in LAZY_NAMES.items():
        # A module that is loaded stays, and so does one whose package is loaded.
        package, _, name = module.partition(".")
        if module not in sys.modules and (not name or package in placeholders):
            lazy_module = placeholders[module] = sys.modules[module] = _LazyModule(module)
            vars(lazy_module).update(names)
            if name:
                setattr(sys.modules[package], name, lazy_module)
    for module in BLOCKED_MODULES:
        if module not in sys.modules:
            # None makes an import of the module raise ModuleNotFoundError.
            placeholders[module] = sys.modules[module] = None  # type: ignore[assignment]
    try:
        import_module("twisted.internet.epollreactor" if sys.platform == "linux" else "twisted.internet.base")
    finally:
        for module, placeholder in placeholders.items():
            if module in sys.modules and sys.modules[module] is placeholder:
                del sys.modules[module]
