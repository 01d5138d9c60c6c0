"""Which way of deciding is in force, and a registry of all ways.

A decision that can be made in more than one way has a ``PolicyKind``. Each way is an entry of
the registry, which the decorator ``policy`` fills from the module that holds its code; a
node's settings (``[policies]``) name the way of each kind. Defaults are what nodes did before
there was a choice.
"""

from __future__ import annotations

import importlib
from collections.abc import Callable
from enum import StrEnum
from typing import TypeVar

import msgspec

Made = TypeVar("Made")

MODULES: tuple[str, ...] = ("pewtertack.routing.link",)
"""Modules that fill the registry."""


class PolicyKind(StrEnum):
    """Decisions that can be made in more than one way; the names of settings."""

    CALLS_WITHIN = "calls_within"
    RETRY_BUDGET = "retry_budget"
    LONG_BODIES = "long_bodies"


class CallsWithin(StrEnum):
    """How requests are treated that a back end makes while it runs another one."""

    ALIKE = "alike"
    FIRST = "first"


class RetryBudgeting(StrEnum):
    """How many retries there may be."""

    SHARE = "share"
    WINDOW = "window"


class LongBodies(StrEnum):
    """How long bodies leave a machine."""

    AT_ONCE = "at-once"
    IN_TURNS = "in-turns"


class Policies(msgspec.Struct, frozen=True, kw_only=True):
    """The way in force of each kind."""

    calls_within: CallsWithin = CallsWithin.ALIKE
    retry_budget: RetryBudgeting = RetryBudgeting.SHARE
    long_bodies: LongBodies = LongBodies.AT_ONCE


DEFAULT_POLICIES = Policies()


class Parameter:
    """A number that a way depends on, with its unit and where it comes from."""

    __slots__ = ("name", "source", "unit", "value")

    def __init__(self, name: str, value: float, unit: str, source: str) -> None:
        self.name = name
        self.value = value
        self.unit = unit
        self.source = source


class Policy:
    """One way of making a decision."""

    __slots__ = ("kind", "made_by", "name", "parameters", "purpose")

    def __init__(
        self,
        kind: PolicyKind,
        name: str,
        purpose: str,
        parameters: tuple[Parameter, ...],
        made_by: Callable[..., object],
    ) -> None:
        self.kind = kind
        self.name = name
        self.purpose = purpose
        self.parameters = parameters
        self.made_by = made_by


REGISTRY: dict[tuple[PolicyKind, str], Policy] = {}


def policy(
    kind: PolicyKind, name: str, purpose: str, *parameters: Parameter
) -> Callable[[Callable[..., Made]], Callable[..., Made]]:
    """Return a decorator that enters a class or function as a way of the kind."""

    def enter(made_by: Callable[..., Made]) -> Callable[..., Made]:
        REGISTRY[kind, name] = Policy(kind, name, purpose, parameters, made_by)
        return made_by

    return enter


def all_policies() -> list[Policy]:
    """Return all ways by kind and name, after their modules have been loaded."""
    for module in MODULES:
        importlib.import_module(module)
    return [REGISTRY[key] for key in sorted(REGISTRY)]
