"""Routing decisions of one proxy: back end selection, queueing, refusal and retries.

The caller (the proxy, or a simulation) submits a ticket for every attempt,
waits for its ``wake`` when it was neither granted nor refused at once, and
reports the result of the attempt.
"""

from __future__ import annotations

from collections.abc import Callable, Container, Iterable
from random import Random
from typing import TYPE_CHECKING

import msgspec

from pewtertack.core.configuration.resolved import ResolvedRoute
from pewtertack.core.machines import MachineList, MachineRole
from pewtertack.routing.attempt_results import (
    CONNECTIVITY_FAILURES,
    FAILURES,
    INCOMPLETE_RESULTS,
    UNREACHABLE_RETRY_SECONDS,
    AttemptResult,
    ejection_parameters,
    reflects_on_backend,
)
from pewtertack.routing.backend import Backend, LoadReport
from pewtertack.routing.backend_events import (
    BackendEvent,
    BackendHealthChanged,
    BackendLeaving,
    BackendListed,
    ignore_event,
)
from pewtertack.routing.gateway_acceptance import AcceptanceTracker
from pewtertack.routing.link import LONG_BYTES
from pewtertack.routing.link_words import LinkReport
from pewtertack.routing.origins import ORIGIN_VALUES, AdvertisedOrigins, Origin
from pewtertack.routing.outcomes import (
    BackendShedError,
    RequestEndsBackendsError,
    RequestFailedError,
)
from pewtertack.routing.patience import CallerWaitPolicies, WaitPolicy, retry_after_shedding
from pewtertack.routing.policies import (
    DEFAULT_POLICIES,
    HungRequestPolicy,
    NestedCallPolicy,
    Policies,
)
from pewtertack.routing.queueing import Ticket
from pewtertack.routing.registry import BackendRegistry
from pewtertack.routing.retries import (
    GRANTED_REASONS,
    MAXIMUM_REFUSALS,
    AttemptRecord,
    RetryReason,
    judge_retry,
)
from pewtertack.routing.retry_budgets import RetryBudgets
from pewtertack.routing.retry_window import NO_RETRY_LIMITS, RetryLimits
from pewtertack.routing.service import ServiceDispatcher
from pewtertack.routing.splits import SplitPicker

if TYPE_CHECKING:
    from pewtertack.routing.rate_reports import RateReport


class RetryDecision(msgspec.Struct, frozen=True):
    """Why a request is retried, with the new ``ticket``, or why it is not."""

    reason: RetryReason
    ticket: Ticket | None = None


class Dispatcher:
    """Routing state of all services of one proxy."""

    def __init__(
        self,
        random: Random,
        notify: Callable[[BackendEvent], None] = ignore_event,
        policies: Policies = DEFAULT_POLICIES,
        retry_limits: RetryLimits = NO_RETRY_LIMITS,
    ) -> None:
        self._random = random
        self._policies = policies
        self._notify = notify
        self._zone = ""
        self._evacuated: frozenset[str] = frozenset()
        self._registry = BackendRegistry()
        self._node_count = 1
        self._services: dict[str, ServiceDispatcher] = {}
        self._budgets = RetryBudgets(policies.retry_budget, retry_limits)
        self._splits = SplitPicker()
        self._wait_policies = CallerWaitPolicies(policies.returning)
        self._acceptance = AcceptanceTracker(random)
        self.short_answers: set[str] = set()
        """Routes whose last answer was short: the next should not occupy a link for long."""
        self.origins = AdvertisedOrigins()
        """Which routes back ends call while they run other requests."""

    def pick_service(self, route: ResolvedRoute) -> ResolvedRoute:
        """Return the route with the service that this request goes to."""
        return self._splits.pick(route)

    def use_zone(self, zone: str) -> None:
        """Prefer back ends of this zone."""
        if zone != self._zone:
            self._zone = zone
            self._assign_backends()

    def use_evacuated(self, zones: frozenset[str], now: float) -> bool:
        """Send nothing to the back ends of these zones; return whether the set has changed.

        Back ends of a zone that is no longer evacuated may have become cold in the meantime.
        """
        reopened = self._evacuated - zones
        if zones == self._evacuated:
            return False
        self._evacuated = zones
        for backend in self._registry.all():
            if backend.zone in reopened:
                backend.assume_cold(now)
        self._assign_backends()
        return True

    def unserved(self, services: Iterable[str]) -> list[str]:
        """Return which of the services have back ends in evacuated zones only."""
        return [
            name
            for name in sorted(services)
            if self._registry.of_service(name) and not self._unevacuated_backends(name)
        ]

    def _unevacuated_backends(self, service: str) -> list[Backend]:
        """Return the back ends of the service that are in no evacuated zone."""
        members = self._registry.of_service(service)
        return [item for item in members if item.zone not in self._evacuated]

    def keep_only(self, routes: Container[str], services: Container[str], now: float) -> None:
        """Forget the state of routes, and of idle services, that are no longer in force."""
        self._splits.keep_only(routes)
        self._wait_policies.keep_only(routes)
        self._acceptance.keep_only(routes)
        self.short_answers = {name for name in self.short_answers if name in routes}
        self.origins.keep_only(routes)
        self._budgets.keep_only(services, now)
        self._services = {
            name: service
            for name, service in self._services.items()
            if name in services or service.in_flight or service.queue
        }

    def use_machines(self, machines: MachineList, now: float) -> None:
        """Take over a newer machine list; an older one is ignored."""
        if self._registry.update(machines, now):
            for backend, change in self._registry.changes:
                self._notify(BackendListed(backend, change))
            self._update_node_count(machines, now)
            self._assign_backends()
            for service in self._services.values():
                service.pump(now)

    def _update_node_count(self, machines: MachineList, now: float) -> None:
        nodes = sum(machine.role is MachineRole.NODE for machine in machines.machines)
        self._node_count = max(1, nodes)
        self._budgets.set_node_count(nodes, now)

    def _assign_backends(self) -> None:
        for name, service in self._services.items():
            service.use_backends(self._unevacuated_backends(name), self._zone)

    def can_reach_all(self, services: Iterable[str], now: float) -> bool:
        """Tell whether each of the services has a back end that may be reachable.

        A service with no listed back end counts as reachable: no other node could reach one either.
        """
        return all(self.service(name).is_reachable(now) for name in services)

    def addresses(self) -> frozenset[str]:
        """Return the addresses to which idle connections are worth keeping."""
        return self._registry.addresses()

    def available_retries(self, now: float) -> dict[str, float]:
        """Return the number of retries that may be made at once, by service."""
        return self._budgets.available(now)

    def service(self, name: str) -> ServiceDispatcher:
        """Return the dispatcher of one service."""
        found = self._services.get(name)
        if found is None:
            found = self._services[name] = ServiceDispatcher(name, self._random)
            found.use_backends(self._unevacuated_backends(name), self._zone)
        return found

    def has_gateways(self, service: str) -> bool:
        """Tell whether gateways admit requests to the service's back ends."""
        return self.service(service).has_gateways

    def services(self) -> tuple[ServiceDispatcher, ...]:
        """Return the dispatchers of all services that requests have used."""
        return tuple(self._services.values())

    def submit(self, ticket: Ticket, now: float) -> None:
        """Grant the ticket or queue it; see ``ServiceDispatcher.submit``."""
        if not ticket.excluded:
            ticket.arrived_at = now
            ticket.caller_wait_policy = self._wait_policies.classify(
                ticket.route.name, ticket.route.objective, ticket.caller_deadline - now, now
            )
            ticket.nested = self._is_nested(ticket.route.name, now)
            if ticket.nested:
                ticket.caller_wait_policy = WaitPolicy.WAIT  # an execution waits for the answer
            budget = self._budgets.for_service(ticket.service.name, now)
            budget.note_first_attempt(now, ticket.route.retry_budget)
        self.service(ticket.route.service).submit(ticket, now)

    def _is_nested(self, route: str, now: float) -> bool:
        first = self._policies.calls_within is NestedCallPolicy.FIRST
        return first and self.origins.is_nested(route, now)

    def note_origin(self, route: str, advertised: str, now: float) -> None:
        """Record a gateway's report on who makes the route's requests."""
        if advertised in ORIGIN_VALUES:
            self.origins.note_advertised(route, Origin(advertised), now)

    def note_failed(self, route: str, now: float) -> None:
        """Record that a request of the route failed, so that its caller may retry."""
        self._wait_policies.note_failed(route, now)

    def check(self, ticket: Ticket, now: float) -> float:
        """Grant or refuse a queued ticket if that is due; return when to check it again."""
        service = self.service(ticket.route.service)
        service.pump(now)
        service.give_up(ticket, now)
        return service.next_check(ticket, now)

    def withdraw(self, ticket: Ticket) -> None:
        """Remove a queued ticket whose caller has gone."""
        self.service(ticket.route.service).withdraw(ticket)

    def refuse(self, ticket: Ticket, refusal: RequestFailedError) -> None:
        """Refuse a queued ticket with ``refusal``; a ticket that is not queued is left alone."""
        self.service(ticket.route.service).refuse(ticket, refusal)

    def note_answer(
        self, ticket: Ticket, now: float, report: LoadReport | None, leaving: bool
    ) -> None:
        """Record that a back end's answer has begun."""
        backend = ticket.backend
        assert backend is not None
        ticket.answered = True
        backend.note_contact(now)
        ticket.report = report
        if report is not None:
            backend.note_report(now, report)
        if leaving:
            self._note_leaving(backend)

    def note_rate(self, ticket: Ticket, report: RateReport | None, now: float) -> None:
        """Record a gateway's report of the limit of its back end; ``None`` if there is none."""
        backend = ticket.backend
        assert backend is not None
        if report is None:
            backend.known_rate = None
        else:
            backend.note_rate(now, report)
        self._remember_removed(backend)

    def note_rate_unkept(self, ticket: Ticket, rate: float, now: float) -> None:
        """Record a back end's limit that no gateway keeps: each node takes an equal share."""
        backend = ticket.backend
        assert backend is not None
        backend.note_rate_share(now, rate / self._node_count)
        self._remember_removed(backend)

    def _remember_removed(self, backend: Backend) -> None:
        if backend.removed:
            self._registry.remember(backend)

    def note_link_report(
        self, ticket: Ticket, report: LinkReport, now: float, with_answer: bool
    ) -> None:
        """Record a gateway's report on its link; see ``ServiceDispatcher.note_link_report``."""
        self.service(ticket.route.service).note_link_report(ticket, report, now, with_answer)

    def note_hung(self, ticket: Ticket, now: float, report: LoadReport | None) -> None:
        """Record that the gateway, which still responds, takes its back end to hang."""
        backend = ticket.backend
        assert backend is not None
        ticket.hung = True
        backend.note_contact(now)
        if report is not None:
            backend.note_report(now, report)

    def _note_leaving(self, backend: Backend) -> None:
        if not backend.leaving:
            backend.leaving = True
            if not backend.removed:
                self._notify(BackendLeaving(backend))

    def finish(self, ticket: Ticket, now: float, result: AttemptResult) -> None:
        """Record the result of an attempt and grant queued tickets that can start now."""
        backend = ticket.backend
        if backend is None or ticket.finished:
            return
        ticket.finished = True
        if ticket.hung and result in (AttemptResult.TIMED_OUT, AttemptResult.CANCELLED):
            result = AttemptResult.HUNG  # it was only awaited because no other back end was better
        service = self.service(ticket.route.service)
        backend.note_end(now, service.mean_time)
        service.in_flight -= 1
        if result is AttemptResult.GONE:
            self._note_leaving(backend)
        elif ticket.unseen_attempts and result not in CONNECTIVITY_FAILURES:
            self._acceptance.note(ticket.route.name, now, result is not AttemptResult.REFUSED)
        service.limit.note_finished(now, now - ticket.started_at)
        seconds = max(0.0, now - ticket.started_at - ticket.queued_seconds)
        expected = service.expected_time(ticket.route.name)
        if result is AttemptResult.ANSWERED:
            service.note_time(ticket.route.name, seconds)
        if result is AttemptResult.ANSWERED or (
            seconds > expected and result in INCOMPLETE_RESULTS
        ):
            backend.note_time(now, seconds, expected)
        self._adapt_limits(service, backend, ticket, now, result)
        self._update_health(service, backend, ticket, now, result)
        service.pump(now)

    def _adapt_limits(
        self,
        service: ServiceDispatcher,
        backend: Backend,
        ticket: Ticket,
        now: float,
        result: AttemptResult,
    ) -> None:
        limit = backend.limit
        if result is AttemptResult.SHED:
            limit.note_shed(now, ticket.started_at, self._random.random())
            service.limit.note_shed(now, ticket.started_at)
        elif result in (
            AttemptResult.ANSWERED,
            AttemptResult.FAILED_STATUS,
            AttemptResult.FAILED_BELOW,
        ):
            _adapt_to_load(service, backend, ticket, now)
        elif result in CONNECTIVITY_FAILURES or result in (
            AttemptResult.TIMED_OUT,
            AttemptResult.BROKEN,
        ):
            limit.note_overload(now, ticket.started_at)

    def _update_health(
        self,
        service: ServiceDispatcher,
        backend: Backend,
        ticket: Ticket,
        now: float,
        result: AttemptResult,
    ) -> None:
        """Count the result of an attempt for or against the back end's health.

        The result of a former incarnation says nothing about the next one, nor about its gateway.
        """
        if backend.removed or not reflects_on_backend(ticket, now, result):
            backend.health.note_inconclusive(ticket.trial)
        elif result is not AttemptResult.ANSWERED and result in FAILURES:
            may_eject = result is not AttemptResult.FAILED_STATUS or service.may_eject()
            threshold, pause = ejection_parameters(ticket, backend, result)
            if backend.health.note_failure(now, ticket.trial, threshold, pause, may_eject):
                backend.unreachable = bool(backend.gateway) and result in CONNECTIVITY_FAILURES
                self._notify(BackendHealthChanged(backend, ejected=True))
        elif backend.health.note_success(now, ticket.trial):
            self._reinstate(backend)

    def _reinstate(self, backend: Backend) -> None:
        backend.unreachable = False
        backend.silent_since = None
        self._notify(BackendHealthChanged(backend, ejected=False))

    def any_unreachable(self) -> bool:
        """Tell whether a gateway is unreachable, so that probes of it come due."""
        return any(item.unreachable and not item.leaving for item in self._registry.all())

    def probes_due(self, now: float) -> list[Backend]:
        """Return the back ends whose gateways are to be probed now, and begin the probes."""
        due = [
            backend
            for backend in self._registry.all()
            if backend.unreachable and not backend.leaving and backend.health.allows_request(now)
        ]
        for backend in due:
            backend.health.note_start()
        return due

    def note_probe_result(self, backend: Backend, now: float, answered: bool) -> None:
        """Record the result of a probe of the back end's gateway."""
        if not answered:
            backend.health.note_probe_failure(now, UNREACHABLE_RETRY_SECONDS)
        elif backend.health.note_success(now, True):
            self._reinstate(backend)
            self.service(backend.service).pump(now)

    def retry(
        self, ticket: Ticket, error: RequestFailedError, now: float, replayable: bool
    ) -> Ticket | None:
        """Return the ticket of one more attempt, or ``None`` if the request is not retried."""
        return self.decide_retry(ticket, error, now, replayable).ticket

    def decide_retry(
        self, ticket: Ticket, error: RequestFailedError, now: float, replayable: bool
    ) -> RetryDecision:
        """Decide whether the request is retried, and give the reason."""
        assert ticket.backend is not None
        service = self.service(ticket.route.service)
        if isinstance(error, BackendShedError) and error.retry_after is None:
            report = ticket.report
            has_free_slots = report is not None and report.in_flight < report.slots
            error.retry_after = retry_after_shedding(ticket.route.objective, has_free_slots)
        if isinstance(error, RequestEndsBackendsError):
            return RetryDecision(RetryReason.ENDS_BACKENDS)
        if not error.reached_backend and ticket.backend.gateway:
            return self._try_another_gateway(ticket, now, replayable)
        record = AttemptRecord(
            ticket.route,
            ticket.retries,
            ticket.deadline,
            service.expected_time(ticket.route.name),
            replayable,
        )
        reason = judge_retry(record, error, now)
        if reason in GRANTED_REASONS and not self._budgets.for_service(
            ticket.service.name, now
        ).take(now, ticket.nested):
            reason = RetryReason.BUDGET
        granted = reason in GRANTED_REASONS
        return RetryDecision(
            reason, ticket.next_attempt(ticket.unseen_attempts) if granted else None
        )

    def note_response_length(self, route: str, length: int | None) -> None:
        """Record the announced length of an answer, ``None`` where it announces none."""
        if length is not None and length <= LONG_BYTES:
            self.short_answers.add(route)
        else:
            self.short_answers.discard(route)

    def may_abandon_hung(self, ticket: Ticket, now: float) -> bool:
        """Tell whether an attempt on which the back end hangs should be made elsewhere now."""
        return self._policies.hanging is HungRequestPolicy.LEFT and self.may_retry_elsewhere(
            ticket, now
        )

    def may_retry_elsewhere(self, ticket: Ticket, now: float) -> bool:
        """Tell whether an attempt that fails now would be repeated on another back end."""
        if not ticket.route.repeatable:
            return False
        assert ticket.backend is not None
        service = self.service(ticket.route.service)
        return (
            service.has_untried((*ticket.excluded, ticket.backend.name), now)
            and ticket.retries < ticket.route.retry_limit
            and now + service.expected_time(ticket.route.name) < ticket.deadline
            and self._budgets.for_service(ticket.service.name, now).available(now, ticket.nested)
            >= 1
        )

    def _try_another_gateway(self, ticket: Ticket, now: float, replayable: bool) -> RetryDecision:
        """Try another gateway, which costs no retry, since no back end has seen the request."""
        unseen_attempts = ticket.unseen_attempts + 1
        if not replayable:
            return RetryDecision(RetryReason.BODY_GONE)
        if now >= ticket.deadline:
            return RetryDecision(RetryReason.NO_TIME)
        next_ticket = ticket.next_attempt(unseen_attempts)
        service = self.service(ticket.route.service)
        # A gateway that broke an attempt off may be used again: that attempt was granted.
        if unseen_attempts >= MAXIMUM_REFUSALS or not service.has_untried(next_ticket.refused, now):
            return RetryDecision(RetryReason.NO_GATEWAY)
        if next_ticket.nested:
            return RetryDecision(RetryReason.NEXT_GATEWAY, next_ticket)
        if not service.another_gateway_may_help(next_ticket, now):
            return RetryDecision(RetryReason.NO_PROSPECT)
        if not self._acceptance.worth_trying(ticket.route.name, now):
            return RetryDecision(RetryReason.NO_ODDS)
        return RetryDecision(RetryReason.NEXT_GATEWAY, next_ticket)


def _adapt_to_load(
    service: ServiceDispatcher, backend: Backend, ticket: Ticket, now: float
) -> None:
    """Adapt the limits to the load that the back end has just reported."""
    report = ticket.report
    if report is None or report.in_flight < report.slots:
        backend.limit.note_free_slots(backend.in_flight)
        service.limit.note_free_slots(service.in_flight)
        return
    service.limit.note_full(now, service.in_flight)
    if report.in_flight > report.slots:
        backend.limit.note_overload(now, ticket.started_at)
    else:
        backend.limit.note_full()
