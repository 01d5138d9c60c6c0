"""Keeps libraries that a node never uses out of its start.

Libraries import ``trio`` where it is installed, though only programs that run on trio need it. On a
machine that has it this took a fifth of a node's start (138 of 650 ms) while httpcore was imported,
and a node refuses requests while it starts.

Other modules are named by asyncio, anyio, logbook and msgspec while these load, but nothing that a
node calls uses them: it speaks no TLS, starts no process, writes no compressed log files and
inspects no types. A stub with the names that are needed at import time takes their place until the
start is over. Without them, OpenSSL's digests and the parser of flags, a node's imports take 1.8 MB
less private memory (17.2 instead of 19.0 MB) and 5 MB less resident memory (26.5 instead of 31.8
MB), with no measurable difference in processor time.
"""

from __future__ import annotations

import importlib
import sys
import typing
from collections.abc import Callable, Mapping
from types import ModuleType
from typing import Any, TypeVar

DecoratedT = TypeVar("DecoratedT")

UNUSED_LIBRARIES = ("trio", "_hashlib")
"""Optional dependencies of libraries; each library works without one that is absent. Without
``_hashlib`` (OpenSSL's digests) Python uses its own implementations; blake2b, which nodes use, is
always Python's own."""
STUBBED_MODULES: dict[str, tuple[str, ...]] = {
    "ssl": ("SSLContext", "SSLSocket", "SSLSyscallError", "SSLWantReadError"),
    "subprocess": ("DEVNULL", "PIPE", "STDOUT"),
    "asyncio.sslproto": (),
    "gzip": (),
    "msgspec.inspect": (),
}
"""Modules that are not loaded, with the names that other modules need from them at import time."""
TYPING_EXTENSIONS = "typing_extensions"
"""What libraries need from it at import time is in Python's own ``typing``, or is only used by type
checkers."""


class _StubModule(ModuleType):
    """Placeholder of a module for the modules that name it at import time.

    Access to any other name loads the module itself. A release of Python or of a library that needs
    more names at import time thus only has a slower start.
    """

    def __init__(self, name: str, values: Mapping[str, object]) -> None:
        super().__init__(name)
        for item, value in values.items():
            setattr(self, item, value)

    def __getattr__(self, item: str) -> Any:
        if item.startswith("__"):
            raise AttributeError(item)
        return getattr(load_module(self.__name__), item)


def load_module(name: str) -> ModuleType:
    """Return the module itself, even if a stub has replaced it."""
    if isinstance(sys.modules.get(name), _StubModule):
        del sys.modules[name]
    return importlib.import_module(name)


def install_stubs() -> None:
    """Make imports of unused libraries fail as if not installed, and install stubs for others."""
    for name in UNUSED_LIBRARIES:
        if name not in sys.modules:
            sys.modules[name] = None  # type: ignore[assignment]
    for name, stub_names in STUBBED_MODULES.items():
        if name not in sys.modules:
            values = {item: type(item, (Exception,), {}) for item in stub_names}
            sys.modules[name] = _StubModule(name, values)
    if TYPING_EXTENSIONS not in sys.modules:
        sys.modules[TYPING_EXTENSIONS] = _StubModule(TYPING_EXTENSIONS, _typing_stub_values())


def _typing_stub_values() -> dict[str, object]:
    return {
        "NotRequired": typing.NotRequired,
        "Required": typing.Required,
        "TypeVar": _make_type_variable,
        "deprecated": _ignore_deprecation,
        "get_type_hints": typing.get_type_hints,
        "override": _identity,
        "sentinel": _Sentinel,
    }


class _Sentinel:
    """A unique value."""

    __slots__ = ("_name",)

    def __init__(self, name: str) -> None:
        self._name = name

    def __repr__(self) -> str:
        return self._name


def _make_type_variable(name: str, *constraints: Any, default: Any = None, **options: Any) -> Any:  # noqa: ARG001 (interface)
    """Create a type variable; the default matters to type checkers only."""
    return TypeVar(name, *constraints, **options)


def _ignore_deprecation(_message: str) -> Callable[[DecoratedT], DecoratedT]:
    """Return a decorator that does nothing; deprecation is reported by type checkers."""
    return _identity


def _identity(decorated: DecoratedT) -> DecoratedT:
    return decorated


def remove_stubs() -> None:
    """Remove the stubs after the start: later imports load the modules themselves."""
    for name in (*STUBBED_MODULES, TYPING_EXTENSIONS):
        if isinstance(sys.modules.get(name), _StubModule):
            del sys.modules[name]
