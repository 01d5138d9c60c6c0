"""Decisions with more than one policy, and the policy that is configured for each.

The section ``[policies]`` of a node's settings names the policies. Their code is registered in
``pewtertack.routing.policies``. Each default is what nodes did before there was a choice.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec


class PolicyKind(StrEnum):
    """Decisions with more than one policy; the values are the names of settings."""

    CALLS_WITHIN = "calls_within"
    BEGUN_RUNS = "begun_runs"
    RETRY_BUDGET = "retry_budget"
    HANGING = "hanging"
    LONG_BODIES = "long_bodies"
    MARGIN = "margin"
    PREFIXES = "prefixes"
    RETURNING = "returning"


class NestedCallPolicy(StrEnum):
    """How nested calls are treated: those that a back end makes while it runs a request."""

    ALIKE = "alike"
    """Like requests of callers."""
    FIRST = "first"
    """Before other requests of the same rank."""


class SlotOrderPolicy(StrEnum):
    """Which requests get a slot first while nested calls of running requests are refused."""

    ALL = "all"
    """All requests alike."""
    FINISHABLE = "finishable"
    """Requests whose executions make such nested calls wait behind all others."""


class RetryBudgetPolicy(StrEnum):
    """How the number of retries is limited."""

    SHARE = "share"
    """As a share of first attempts, with a small burst."""
    WINDOW = "window"
    """As a share of the requests in a sliding window, set by the operator."""


class HungRequestPolicy(StrEnum):
    """What happens to a request when its back end most likely hangs."""

    AWAITED = "awaited"
    """The node goes on waiting for its answer."""
    LEFT = "left"
    """It is abandoned and tried again if it may be repeated."""


class LongBodyPolicy(StrEnum):
    """In which order a machine sends long bodies."""

    AT_ONCE = "at-once"
    """All at the same time."""
    IN_TURNS = "in-turns"
    """One after the other at the link's rate; short bodies do not wait."""


class WaitMarginPolicy(StrEnum):
    """Which part of a request's wait time is reserved for an answer that takes long."""

    SPREAD = "spread"
    """The whole spread of the answers' times."""
    HALF = "half"
    """At most half of the wait time."""


class RetryLaterPolicy(StrEnum):
    """Which callers are told to retry later instead of waiting until their answer is too late."""

    FOUR = "four"
    """Those with at least four times their objective left."""
    TWO = "two"
    """Those with at least twice their objective left."""


class RoutePrefixPolicy(StrEnum):
    """Which paths a route's path prefix matches."""

    SEGMENTS = "segments"
    """The path that equals it, and all paths below it."""
    BELOW = "below"
    """Only the paths below it, which begin with the prefix and a slash."""


class Policies(msgspec.Struct, frozen=True, kw_only=True):
    """The configured policy for each kind."""

    calls_within: NestedCallPolicy = NestedCallPolicy.ALIKE
    begun_runs: SlotOrderPolicy = SlotOrderPolicy.ALL
    retry_budget: RetryBudgetPolicy = RetryBudgetPolicy.SHARE
    hanging: HungRequestPolicy = HungRequestPolicy.AWAITED
    long_bodies: LongBodyPolicy = LongBodyPolicy.AT_ONCE
    margin: WaitMarginPolicy = WaitMarginPolicy.SPREAD
    returning: RetryLaterPolicy = RetryLaterPolicy.FOUR
    prefixes: RoutePrefixPolicy = RoutePrefixPolicy.SEGMENTS


DEFAULT_POLICIES = Policies()
