"""Disables single mechanisms of a node, to show that a scenario detects the loss of each.

The node runs the same program; one function, property or constant is replaced at its start.
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
from pewtertack.routing.rate_limit import RateLimit
from pewtertack.routing.rate_reports import RateReport
from pewtertack.routing.retries import AttemptRecord, RetryReason

ResponseMetaReader = Callable[[RawHeaders, EdgeHeaders], ResponseMeta]
BrokenExchangeErrorFactory = Callable[[BackendConnection, ExchangeBrokenError], RequestFailedError]
RetryRule = Callable[[AttemptRecord, RequestFailedError, float], RetryReason]
MachinesApplier = Callable[[ProxyApplication, MachineList], None]

ConfigurationApplier = Callable[[Any, ResolvedConfiguration], None]

SHORT_RESPONSE_TIMEOUT_SECONDS = 1.0

CORE_MECHANISMS = tuple(field.name for field in msgspec.structs.fields(Mechanisms))


def _disable_core_mechanism(name: str) -> None:
    for key, timing in tuple(profile.PROFILES.items()):
        mechanisms = msgspec.structs.replace(timing.mechanisms, **{name: False})
        profile.PROFILES[key] = msgspec.structs.replace(timing, mechanisms=mechanisms)


def _replace_function(
    owner: object, name: str, wrapper: Callable[[Any], Callable[..., Any]]
) -> None:
    """Replace the function ``name`` of a module or class with the result of ``wrapper``."""
    setattr(owner, name, wrapper(getattr(owner, name)))


def _skip_request_id_check() -> None:
    """Forward responses without checking which request they belong to."""

    def wrapper(read_response_meta: ResponseMetaReader) -> ResponseMetaReader:
        def read_without_id(headers: RawHeaders, edge: EdgeHeaders = DEFAULT_EDGE) -> ResponseMeta:
            response_meta = read_response_meta(headers, edge)
            response_meta.request_id = None
            return response_meta

        return read_without_id

    _replace_function(exchange, "read_response_meta", wrapper)


def _retry_any_route() -> None:
    """Retry attempts of unknown outcome also on routes that are not repeatable."""

    def wrapper(judge_retry: RetryRule) -> RetryRule:
        def judge_as_repeatable(
            record: AttemptRecord, error: RequestFailedError, now: float
        ) -> RetryReason:
            route = msgspec.structs.replace(record.route, repeatable=True)
            return judge_retry(msgspec.structs.replace(record, route=route), error, now)

        return judge_as_repeatable

    _replace_function(dispatcher, "judge_retry", wrapper)


def _report_broken_exchanges_as_not_run() -> None:
    """Report every broken exchange to the caller as not run."""

    def wrapper(make_error: BrokenExchangeErrorFactory) -> BrokenExchangeErrorFactory:
        def fail_as_not_run(
            connection: BackendConnection, broken: ExchangeBrokenError
        ) -> RequestFailedError:
            return make_error(connection, broken).with_outcome(Outcome.NOT_RUN)

        return fail_as_not_run

    _replace_function(exchange, "_broken_exchange_error", wrapper)


def _ignore_leaving() -> None:
    """Send requests to back ends that announce, or are listed as, leaving."""

    def wrap_reader(read_response_meta: ResponseMetaReader) -> ResponseMetaReader:
        def read_as_staying(headers: RawHeaders, edge: EdgeHeaders = DEFAULT_EDGE) -> ResponseMeta:
            response_meta = read_response_meta(headers, edge)
            response_meta.leaving = False
            return response_meta

        return read_as_staying

    def wrap_use_machines(use_machines: MachinesApplier) -> MachinesApplier:
        def use_all_as_live(proxy: ProxyApplication, machines: MachineList) -> None:
            live_machines = tuple(_as_live(machine) for machine in machines.machines)
            use_machines(proxy, MachineList(machines.number, live_machines))

        return use_all_as_live

    _replace_function(exchange, "read_response_meta", wrap_reader)
    _replace_function(ProxyApplication, "use_machines", wrap_use_machines)


def _ignore_rate_limits() -> None:
    """Give back ends that name a limit of requests a second what others get."""

    def wrapper(read_response_meta: ResponseMetaReader) -> ResponseMetaReader:
        def read_without_limit(
            headers: RawHeaders, edge: EdgeHeaders = DEFAULT_EDGE
        ) -> ResponseMeta:
            response_meta = read_response_meta(headers, edge)
            response_meta.rate_limits = ()
            return response_meta

        return read_without_limit

    _replace_function(exchange, "read_response_meta", wrapper)


def _ignore_rate_reports() -> None:
    """Have a gateway learn the limit of its back end from that alone, not from senders."""

    def wrapper(_note_report: Callable[..., str | None]) -> Callable[..., None]:
        def ignore_report(_limit: RateLimit, _report: RateReport, _now: float) -> None:
            """Ignore the report."""

        return ignore_report

    _replace_function(RateLimit, "note_report", wrapper)


def _as_live(machine: Machine) -> Machine:
    return msgspec.structs.replace(machine, state=MachineState.LIVE)


def _skip_leaving_notices() -> None:
    """Do not notify peers of back ends that announce that they are leaving."""

    def wrapper(_: object) -> Callable[[ProxyApplication, object], None]:
        return lambda _proxy, _observer: None

    _replace_function(ProxyApplication, "set_leaving_observer", wrapper)


def _stop_without_draining() -> None:
    """Exit at a graceful shutdown without waiting for requests in flight."""

    def wrapper(_: object) -> Callable[[ProxyApplication], Awaitable[None]]:
        async def exit_immediately(_proxy: ProxyApplication) -> None:
            os._exit(0)

        return exit_immediately

    _replace_function(ProxyApplication, "wait_drained", wrapper)


def _skip_withdrawal_at_shutdown() -> None:
    """Neither hand back nor answer pending requests when the time for the shutdown is over."""

    def make_withdraw(_: object) -> Callable[[DrainableProxy], Awaitable[None]]:
        async def skip_withdrawal(_application: DrainableProxy) -> None:
            return None

        return skip_withdrawal

    def make_noop(_: object) -> Callable[[DrainableProxy], None]:
        return lambda _application: None

    for owner in (ProxyApplication, GatewayApplication):
        _replace_function(owner, "withdraw_waiting", make_withdraw)
        _replace_function(owner, "flush_responses", make_noop)
        _replace_function(owner, "stop_requests", make_noop)


def _skip_shutdown_announcements() -> None:
    """Do not tell gateways how long a node that shuts down relays responses.

    This holds for new requests and for those in flight.
    """

    def make_begin(_: object) -> Callable[[ShutdownDeadline, float], None]:
        return lambda _deadline, _ends_at: None

    def make_announce(_: object) -> Callable[[ProxyApplication], Awaitable[None]]:
        async def skip_announcement(_proxy: ProxyApplication) -> None:
            return None

        return skip_announcement

    _replace_function(ShutdownDeadline, "begin", make_begin)
    _replace_function(ProxyApplication, "announce_stop", make_announce)


def _skip_crash_ledger() -> None:
    """Record no crashes of back ends that execute a request."""

    def wrapper(_: object) -> Callable[[CrashLedger, bytes, int, float], bool]:
        return lambda _ledger, _fingerprint, _number, _at: False

    _replace_function(CrashLedger, "record_crash", wrapper)


def _ignore_evacuations() -> None:
    """Send and admit requests as if no zones were evacuated."""

    def wrapper(use: ConfigurationApplier) -> ConfigurationApplier:
        def use_all_zones(application: Any, configuration: ResolvedConfiguration) -> None:
            use(application, msgspec.structs.replace(configuration, evacuated=frozenset()))

        return use_all_zones

    for owner in (ProxyApplication, GatewayApplication):
        _replace_function(owner, "use_configuration", wrapper)


def _ignore_eras() -> None:
    """Ignore the era in responses, as if revisions never decreased by a restore of the source."""

    def make_update(_: object) -> Callable[..., None]:
        return lambda _era, _now, _value, _sent_in, _new_connection: None

    _replace_function(SourceEra, "update", make_update)


def _skip_hold_after_restore() -> None:
    """Use the first machine list of a new era without the hold time."""

    def wrapper(init: Callable[..., None]) -> Callable[..., None]:
        return lambda overrides, _hold_seconds, *others: init(overrides, 0.0, *others)

    _replace_function(MachineListOverrides, "__init__", wrapper)


def _forget_refused_requests() -> None:
    """Use a connection after a refusal for any request, however the refusal is identified."""

    def make_note(_: object) -> Callable[[BackendConnection, str | None], None]:
        return lambda _connection, _request_id: None

    _replace_function(BackendConnection, "note_refusal", make_note)


def _close_with_pipelined_requests() -> None:
    """Close a connection after a response although requests that have not started follow."""

    def is_next_started(pipeline: Pipeline[Any]) -> bool:
        return len(pipeline.requests) > 1 and pipeline.requests[1].started

    setattr(Pipeline, "has_following", property(is_next_started))  # noqa: B010 (a property is replaced)


def _disable_overlapping_reads() -> None:
    """Start no read of a document while another is unanswered, however slow the source is."""
    for key, timing in tuple(profile.PROFILES.items()):
        profile.PROFILES[key] = msgspec.structs.replace(timing, read_patience=0.0)


def _disable_read_spreading() -> None:
    """Give the read after a change the same wait as any other."""
    setattr(reader, "MIN_WAIT_SHARE", 1.0)  # noqa: B010 (a constant is replaced)


def _time_out_slow_responses() -> None:
    """Time out when a response of the store does not start within a second."""
    setattr(store, "RESPONSE_HEAD_TIMEOUT_SECONDS", SHORT_RESPONSE_TIMEOUT_SECONDS)  # noqa: B010 (a constant is replaced)


REQUEST_MECHANISMS: Mapping[str, Callable[[], None]] = {
    "answer_identity": _skip_request_id_check,
    "retry_proof": _retry_any_route,
    "refusal_truth": _report_broken_exchanges_as_not_run,
    "leaving": _ignore_leaving,
    "rate_limits": _ignore_rate_limits,
    "rate_reports": _ignore_rate_reports,
    "leaving_notices": _skip_leaving_notices,
    "drain": _stop_without_draining,
    "stop_announcements": _skip_shutdown_announcements,
    "stop_answers": _skip_withdrawal_at_shutdown,
    "pipelined_stop_answers": _close_with_pipelined_requests,
    "refused_connections": _forget_refused_requests,
    "crash_ledger": _skip_crash_ledger,
    "evacuation": _ignore_evacuations,
    "eras": _ignore_eras,
    "hold_after_return": _skip_hold_after_restore,
    "overlapping_reads": _disable_overlapping_reads,
    "slow_answers": _time_out_slow_responses,
    "spread_reads": _disable_read_spreading,
}
MECHANISMS: Sequence[str] = (*CORE_MECHANISMS, *REQUEST_MECHANISMS)


def check_mechanism(name: str) -> None:
    """Check that a mechanism called ``name`` exists.

    Raises:
        LabUsageError: the name is unknown.
    """
    if name not in MECHANISMS:
        raise LabUsageError(f"unknown mechanism {name!r}; accepted: {', '.join(MECHANISMS)}")


def disable_mechanism(name: str) -> None:
    """Disable one mechanism in this process; call this before the node is assembled.

    Raises:
        LabUsageError: the mechanism is unknown.
    """
    check_mechanism(name)
    if name in REQUEST_MECHANISMS:
        REQUEST_MECHANISMS[name]()
    else:
        _disable_core_mechanism(name)
