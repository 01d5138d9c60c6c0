"""Nodes with one mechanism switched off, to show that a scenario notices its absence.

Such a node runs the same program; one part of it is replaced at its start.
"""

from __future__ import annotations

import os
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Any

import msgspec

from pewtertack.core import profile
from pewtertack.core.configuration.resolved import ResolvedConfiguration
from pewtertack.core.crashes.ledger import CrashLedger
from pewtertack.core.machines import Machine, MachineList, MachineState
from pewtertack.core.profile import Mechanisms
from pewtertack.core.replication import reader
from pewtertack.core.returned_lists import MachineListOverrides
from pewtertack.core.source_era import SourceEra
from pewtertack.lab.errors import LabUsageError
from pewtertack.node.daemon import DrainableProxy
from pewtertack.node.gateway.application import GatewayApplication
from pewtertack.node.http.connection import BackendConnection
from pewtertack.node.http.framing import RawHeaders
from pewtertack.node.http.pipeline import Pipeline
from pewtertack.node.http.response_reading import ExchangeBrokenError
from pewtertack.node.proxy import exchange
from pewtertack.node.proxy.application import ProxyApplication
from pewtertack.node.proxy.edge import DEFAULT_EDGE, EdgeHeaders
from pewtertack.node.proxy.headers import ResponseMeta
from pewtertack.node.proxy.stop_time import ShutdownDeadline
from pewtertack.platform import store
from pewtertack.routing import dispatcher
from pewtertack.routing.outcomes import Outcome, RequestFailedError
from pewtertack.routing.retries import AttemptRecord, RetryReason

AnswerReader = Callable[[RawHeaders, EdgeHeaders], ResponseMeta]
BreakReader = Callable[[BackendConnection, ExchangeBrokenError], RequestFailedError]
RetryRule = Callable[[AttemptRecord, RequestFailedError, float], RetryReason]
MachinesUser = Callable[[ProxyApplication, MachineList], None]

ConfigurationUser = Callable[[Any, ResolvedConfiguration], None]

SHORT_RESPONSE_TIMEOUT_SECONDS = 1.0

CORE_MECHANISMS = tuple(field.name for field in msgspec.structs.fields(Mechanisms))


def _switch_off_in_core(name: str) -> None:
    for key, timing in tuple(profile.PROFILES.items()):
        mechanisms = msgspec.structs.replace(timing.mechanisms, **{name: False})
        profile.PROFILES[key] = msgspec.structs.replace(timing, mechanisms=mechanisms)


def _wrap(owner: object, name: str, wrapper: Callable[[Any], Callable[..., Any]]) -> None:
    """Replace the function ``name`` of a module or class by what ``wrapper`` makes of it."""
    setattr(owner, name, wrapper(getattr(owner, name)))


def _accept_crossed_answers() -> None:
    """Pass an answer on without a look at the request that it belongs to."""

    def wrapper(read_response_meta: AnswerReader) -> AnswerReader:
        def read_without_id(headers: RawHeaders, edge: EdgeHeaders = DEFAULT_EDGE) -> ResponseMeta:
            answer = read_response_meta(headers, edge)
            answer.request_id = None
            return answer

        return read_without_id

    _wrap(exchange, "read_response_meta", wrapper)


def _retry_whatever_may_have_run() -> None:
    """Repeat attempts of unknown outcome of any request."""

    def wrapper(judge_retry: RetryRule) -> RetryRule:
        def judge_as_repeatable(
            record: AttemptRecord, error: RequestFailedError, now: float
        ) -> RetryReason:
            route = msgspec.structs.replace(record.route, repeatable=True)
            return judge_retry(msgspec.structs.replace(record, route=route), error, now)

        return judge_as_repeatable

    _wrap(dispatcher, "judge_retry", wrapper)


def _call_broken_exchanges_not_run() -> None:
    """Tell callers "not run" of every exchange that broke."""

    def wrapper(failure: BreakReader) -> BreakReader:
        def fail_as_not_run(
            connection: BackendConnection, broken: ExchangeBrokenError
        ) -> RequestFailedError:
            return failure(connection, broken).with_outcome(Outcome.NOT_RUN)

        return fail_as_not_run

    _wrap(exchange, "_broken_exchange_error", wrapper)


def _ignore_leaving() -> None:
    """Give work to back ends that say, or are listed, as leaving."""

    def wrap_reader(read_response_meta: AnswerReader) -> AnswerReader:
        def read_as_staying(headers: RawHeaders, edge: EdgeHeaders = DEFAULT_EDGE) -> ResponseMeta:
            answer = read_response_meta(headers, edge)
            answer.leaving = False
            return answer

        return read_as_staying

    def wrap_use(use_machines: MachinesUser) -> MachinesUser:
        def use_all_as_live(proxy: ProxyApplication, machines: MachineList) -> None:
            live = tuple(_as_live(machine) for machine in machines.machines)
            use_machines(proxy, MachineList(machines.number, live))

        return use_all_as_live

    _wrap(exchange, "read_response_meta", wrap_reader)
    _wrap(ProxyApplication, "use_machines", wrap_use)


def _as_live(machine: Machine) -> Machine:
    return msgspec.structs.replace(machine, state=MachineState.LIVE)


def _keep_leaving_to_itself() -> None:
    """Tell no peer of a back end that says that it leaves."""

    def wrapper(_: object) -> Callable[[ProxyApplication, object], None]:
        return lambda proxy, observer: None

    _wrap(ProxyApplication, "set_leaving_observer", wrapper)


def _stop_without_draining() -> None:
    """End a planned stop without a wait for what is in flight."""

    def wrapper(_: object) -> Callable[[ProxyApplication], Awaitable[None]]:
        async def end_at_once(proxy: ProxyApplication) -> None:
            os._exit(0)

        return end_at_once

    _wrap(ProxyApplication, "wait_drained", wrapper)


def _leave_waiting_requests() -> None:
    """Hand back and answer nothing when the time to stop is over."""

    def withdraw_nothing(_: object) -> Callable[[DrainableProxy], Awaitable[None]]:
        async def withdraw(application: DrainableProxy) -> None:
            return None

        return withdraw

    def stop_nothing(_: object) -> Callable[[DrainableProxy], None]:
        return lambda application: None

    for owner in (ProxyApplication, GatewayApplication):
        _wrap(owner, "withdraw_waiting", withdraw_nothing)
        _wrap(owner, "flush_responses", stop_nothing)
        _wrap(owner, "stop_requests", stop_nothing)


def _keep_stops_to_itself() -> None:
    """Tell no gateway until when a stopping node carries answers, of new requests or old."""

    def begin_nothing(_: object) -> Callable[[ShutdownDeadline, float], None]:
        return lambda stop, ends_at: None

    def announce_nothing(_: object) -> Callable[[ProxyApplication], Awaitable[None]]:
        async def announce(proxy: ProxyApplication) -> None:
            return None

        return announce

    _wrap(ShutdownDeadline, "begin", begin_nothing)
    _wrap(ProxyApplication, "announce_stop", announce_nothing)


def _forget_crashes() -> None:
    """Note no end of a back end under a request."""

    def wrapper(_: object) -> Callable[[CrashLedger, bytes, int, float], bool]:
        return lambda ledger, fingerprint, number, at: False

    _wrap(CrashLedger, "record_crash", wrapper)


def _ignore_evacuations() -> None:
    """Send and admit requests whatever zones are evacuated."""

    def wrapper(use: ConfigurationUser) -> ConfigurationUser:
        def use_all_zones(application: Any, configuration: ResolvedConfiguration) -> None:
            use(application, msgspec.structs.replace(configuration, evacuated=frozenset()))

        return use_all_zones

    for owner in (ProxyApplication, GatewayApplication):
        _wrap(owner, "use_configuration", wrapper)


def _ignore_eras() -> None:
    """Read on over a return of the source as if its revisions never went back."""

    def take_nothing(_: object) -> Callable[..., None]:
        return lambda era, now, value, sent_in, fresh: None

    _wrap(SourceEra, "update", take_nothing)


def _hold_nothing_after_returns() -> None:
    """Believe the first list of a new era at once."""

    def wrapper(start: Callable[..., None]) -> Callable[..., None]:
        return lambda returned, seconds, *others: start(returned, 0.0, *others)

    _wrap(MachineListOverrides, "__init__", wrapper)


def _drop_what_was_read_behind() -> None:
    """End a connection behind an answer though more requests were read."""

    def is_next_begun(pipeline: Pipeline[Any]) -> bool:
        return len(pipeline.requests) > 1 and pipeline.requests[1].started

    setattr(Pipeline, "has_following", property(is_next_begun))  # noqa: B010 (a property is replaced)


def _read_one_at_a_time() -> None:
    """Open no read of a document while another is unanswered, however slow the source is."""
    for key, timing in tuple(profile.PROFILES.items()):
        profile.PROFILES[key] = msgspec.structs.replace(timing, read_patience=0.0)


def _begin_reads_together() -> None:
    """Hold the read after a change as long as any other."""
    setattr(reader, "MIN_WAIT_SHARE", 1.0)  # noqa: B010 (a constant is replaced)


def _give_up_slow_answers() -> None:
    """Give up an answer of the store after a second."""
    setattr(store, "RESPONSE_HEAD_TIMEOUT_SECONDS", SHORT_RESPONSE_TIMEOUT_SECONDS)  # noqa: B010 (a constant is replaced)


REQUEST_MECHANISMS: Mapping[str, Callable[[], None]] = {
    "answer_identity": _accept_crossed_answers,
    "retry_proof": _retry_whatever_may_have_run,
    "refusal_truth": _call_broken_exchanges_not_run,
    "leaving": _ignore_leaving,
    "leaving_notices": _keep_leaving_to_itself,
    "drain": _stop_without_draining,
    "stop_announcements": _keep_stops_to_itself,
    "stop_answers": _leave_waiting_requests,
    "pipelined_stop_answers": _drop_what_was_read_behind,
    "crash_ledger": _forget_crashes,
    "evacuation": _ignore_evacuations,
    "eras": _ignore_eras,
    "hold_after_return": _hold_nothing_after_returns,
    "overlapping_reads": _read_one_at_a_time,
    "slow_answers": _give_up_slow_answers,
    "spread_reads": _begin_reads_together,
}
MECHANISMS: Sequence[str] = (*CORE_MECHANISMS, *REQUEST_MECHANISMS)


def check_mechanism(name: str) -> None:
    """Accept the name of a mechanism.

    Raises:
        LabUsageError: there is none of this name.
    """
    if name not in MECHANISMS:
        raise LabUsageError(f"no mechanism {name!r}; there are {', '.join(MECHANISMS)}")


def disable_mechanism(name: str) -> None:
    """Switch one mechanism off in this process, before its node is put together.

    Raises:
        LabUsageError: there is no such mechanism.
    """
    check_mechanism(name)
    if name in REQUEST_MECHANISMS:
        REQUEST_MECHANISMS[name]()
    else:
        _switch_off_in_core(name)
