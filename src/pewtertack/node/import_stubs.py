"""Keeps libraries that a node never uses out of its start.

Libraries import ``trio`` where they find it, though only programs that run on trio need
it. On a machine that has it this was a fifth of a node's start while httpcore was part of
it (measured: 138 of 650 ms), and a node that starts refuses requests.

Other modules are named by asyncio, anyio, logbook and msgspec while these load, and by nothing that
a node calls: it speaks no TLS, starts no process, writes no compressed log files and describes no
types. A stand-in with the
few names takes their place until the start is over. Without them, OpenSSL's digests and the
parser of flags, a node's imports take 1.8 MB less private memory (17.2 of 19.0 MB) and 5 MB less
resident memory (26.5 of 31.8 MB; four alternating runs on a busy machine; processor time not told
apart).
"""

from __future__ import annotations

import importlib
import sys
import typing
from collections.abc import Callable, Mapping
from types import ModuleType
from typing import Any, TypeVar

Marked = TypeVar("Marked")

UNUSED = ("trio", "_hashlib")
"""Optional dependencies of libraries; each library does without one that is absent. Without
``_hashlib``, OpenSSL's digests, Python takes its own; blake2b, which nodes use, is its own."""
NAMED_WHILE_LOADING: dict[str, tuple[str, ...]] = {
    "ssl": ("SSLContext", "SSLSocket", "SSLSyscallError", "SSLWantReadError"),
    "subprocess": ("DEVNULL", "PIPE", "STDOUT"),
    "gzip": (),
    "msgspec.inspect": (),
}
"""Modules that are not loaded, with the names that others take from them as they load."""
TYPING_EXTENSIONS = "typing_extensions"
"""What libraries take from it while they load is Python's own, or of use to type checkers alone."""


class _StandIn(ModuleType):
    """In place of a module, for those that name it while they load.

    Whatever else is taken from it loads the module itself, so that a release of Python or of a
    library which takes more costs its start some time and changes nothing.
    """

    def __init__(self, name: str, named: Mapping[str, object]) -> None:
        super().__init__(name)
        for item, value in named.items():
            setattr(self, item, value)

    def __getattr__(self, item: str) -> Any:
        if item.startswith("__"):
            raise AttributeError(item)
        return getattr(load(self.__name__), item)


def load(name: str) -> ModuleType:
    """Return the module itself, whatever stands in for it."""
    if isinstance(sys.modules.get(name), _StandIn):
        del sys.modules[name]
    return importlib.import_module(name)


def install_stubs() -> None:
    """Let imports of unused libraries fail as if they were not installed, others find stand-ins."""
    for name in UNUSED:
        if name not in sys.modules:
            sys.modules[name] = None  # type: ignore[assignment]
    for name, placeholders in NAMED_WHILE_LOADING.items():
        if name not in sys.modules:
            named = {item: type(item, (Exception,), {}) for item in placeholders}
            sys.modules[name] = _StandIn(name, named)
    if TYPING_EXTENSIONS not in sys.modules:
        sys.modules[TYPING_EXTENSIONS] = _StandIn(TYPING_EXTENSIONS, _typing_names())


def _typing_names() -> dict[str, object]:
    return {
        "NotRequired": typing.NotRequired,
        "Required": typing.Required,
        "TypeVar": _type_variable,
        "deprecated": _not_deprecated,
        "get_type_hints": typing.get_type_hints,
        "override": _unchanged,
        "sentinel": _Sentinel,
    }


class _Sentinel:
    """A value like no other."""

    __slots__ = ("_name",)

    def __init__(self, name: str) -> None:
        self._name = name

    def __repr__(self) -> str:
        return self._name


def _type_variable(name: str, *constraints: Any, default: Any = None, **options: Any) -> Any:
    """Make a type variable; its default is of use to who checks types alone."""
    return TypeVar(name, *constraints, **options)


def _not_deprecated(message: str) -> Callable[[Marked], Marked]:
    """Mark nothing: who calls what is deprecated is told where it is type-checked."""
    return _unchanged


def _unchanged(marked: Marked) -> Marked:
    return marked


def remove_stubs() -> None:
    """End the start: whatever is imported from now on finds the modules themselves."""
    for name in (*NAMED_WHILE_LOADING, TYPING_EXTENSIONS):
        if isinstance(sys.modules.get(name), _StandIn):
            del sys.modules[name]
