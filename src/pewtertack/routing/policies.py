"""Registry of the policies for decisions that can be made in more than one way.

Each such decision has a ``PolicyKind``. Each policy is an entry of the registry, which the
decorator ``policy`` adds in the module that implements it.
"""

from __future__ import annotations

import importlib
from collections.abc import Callable
from typing import TypeVar

from pewtertack.core.policies import (
    DEFAULT_POLICIES,
    HungRequestPolicy,
    LongBodyPolicy,
    NestedCallPolicy,
    Policies,
    PolicyKind,
    RetryBudgetPolicy,
    RetryLaterPolicy,
    RoutePrefixPolicy,
    SlotOrderPolicy,
    WaitMarginPolicy,
)

__all__ = [
    "DEFAULT_POLICIES",
    "REGISTRY",
    "SlotOrderPolicy",
    "NestedCallPolicy",
    "HungRequestPolicy",
    "LongBodyPolicy",
    "WaitMarginPolicy",
    "Parameter",
    "RoutePrefixPolicy",
    "Policies",
    "Policy",
    "PolicyKind",
    "RetryBudgetPolicy",
    "RetryLaterPolicy",
    "all_policies",
    "policy",
]

Implementation = TypeVar("Implementation")

MODULES: tuple[str, ...] = (
    "pewtertack.routing.hanging",
    "pewtertack.routing.link",
    "pewtertack.routing.margins",
    "pewtertack.routing.origins",
    "pewtertack.routing.path_prefixes",
    "pewtertack.routing.patience",
    "pewtertack.routing.retries",
    "pewtertack.routing.retry_window",
    "pewtertack.routing.executions",
)
"""Modules that register policies."""


class Parameter:
    """A number that a policy depends on, with its unit and source."""

    __slots__ = ("name", "source", "unit", "value")

    def __init__(self, name: str, value: float | None, unit: str, source: str) -> None:
        self.name = name
        self.value = value
        """``None`` where an operator sets it."""
        self.unit = unit
        self.source = source


class Policy:
    """One policy for a kind of decision."""

    __slots__ = ("kind", "implementation", "name", "parameters", "purpose")

    def __init__(
        self,
        kind: PolicyKind,
        name: str,
        purpose: str,
        parameters: tuple[Parameter, ...],
        implementation: Callable[..., object],
    ) -> None:
        self.kind = kind
        self.name = name
        self.purpose = purpose
        self.parameters = parameters
        self.implementation = implementation


REGISTRY: dict[tuple[PolicyKind, str], Policy] = {}


def policy(
    kind: PolicyKind, name: str, purpose: str, *parameters: Parameter
) -> Callable[[Callable[..., Implementation]], Callable[..., Implementation]]:
    """Return a decorator that registers a class or function as a policy of the kind."""

    def enter(implementation: Callable[..., Implementation]) -> Callable[..., Implementation]:
        REGISTRY[kind, name] = Policy(kind, name, purpose, parameters, implementation)
        return implementation

    return enter


def all_policies() -> list[Policy]:
    """Import all policy modules; return all policies sorted by kind and name."""
    for module in MODULES:
        importlib.import_module(module)
    return [REGISTRY[key] for key in sorted(REGISTRY)]
