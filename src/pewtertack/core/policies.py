"""The decisions that can be made in more than one way, and the way in force of each.

A node's settings (``[policies]``) name the ways; the code of each stands where it decides
(``pewtertack.routing.policies``). Defaults are what nodes did before there was a choice.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec


class PolicyKind(StrEnum):
    """Decisions that can be made in more than one way; the names of settings."""

    CALLS_WITHIN = "calls_within"
    BEGUN_RUNS = "begun_runs"
    RETRY_BUDGET = "retry_budget"
    HANGING = "hanging"
    LONG_BODIES = "long_bodies"
    MARGIN = "margin"
    RETURNING = "returning"


class NestedCallPolicy(StrEnum):
    """How requests are treated that a back end makes while it runs another one."""

    ALIKE = "alike"
    FIRST = "first"


class SlotOrderPolicy(StrEnum):
    """Which requests take a slot first while calls that runs make are turned away."""

    ALL = "all"
    FINISHABLE = "finishable"


class RetryBudgetPolicy(StrEnum):
    """How many retries there may be."""

    SHARE = "share"
    WINDOW = "window"


class HungRequestPolicy(StrEnum):
    """What becomes of a request that a back end has most likely hung on."""

    AWAITED = "awaited"
    LEFT = "left"


class LongBodyPolicy(StrEnum):
    """How long bodies leave a machine."""

    AT_ONCE = "at-once"
    IN_TURNS = "in-turns"


class WaitMarginPolicy(StrEnum):
    """What of the time that a request may wait is kept for an answer that takes long."""

    SPREAD = "spread"
    HALF = "half"


class RetryLaterPolicy(StrEnum):
    """Which callers are rather told to come back than made to wait until their answer is late."""

    FOUR = "four"
    TWO = "two"


class Policies(msgspec.Struct, frozen=True, kw_only=True):
    """The way in force of each kind."""

    calls_within: NestedCallPolicy = NestedCallPolicy.ALIKE
    begun_runs: SlotOrderPolicy = SlotOrderPolicy.ALL
    retry_budget: RetryBudgetPolicy = RetryBudgetPolicy.SHARE
    hanging: HungRequestPolicy = HungRequestPolicy.AWAITED
    long_bodies: LongBodyPolicy = LongBodyPolicy.AT_ONCE
    margin: WaitMarginPolicy = WaitMarginPolicy.SPREAD
    returning: RetryLaterPolicy = RetryLaterPolicy.FOUR


DEFAULT_POLICIES = Policies()
